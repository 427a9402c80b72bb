//! Request handling of a stand-in backend server.

use std::future;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::HeaderMap;
use hyper::{Method, Request, Response, StatusCode};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use shallothill_core::headers;
use tokio::sync::Notify;
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::behaviour::Behaviour;
use crate::errors;
use crate::options::StandinOptions;
use crate::record::{REQUEST_ID, Record, RecordedRequest};

/// `BODY_MAX_BYTES` is the largest accepted request body.
const BODY_MAX_BYTES: usize = 64 * 1024 * 1024;

/// `Answer` is a response whose body may end with an error, to simulate truncation.
pub(crate) type Answer = Response<BoxBody<Bytes, io::Error>>;

/// `Shared` is the state that the connections and the announcer of a stand-in share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) options: StandinOptions,
    pub(crate) address: SocketAddr,
    pub(crate) record: Record,
    /// Wakes the announcer after a change of the announced state.
    pub(crate) state_changed: Notify,
    /// Cancelled by a request that carries the crash mark.
    pub(crate) crash: CancellationToken,
    pub(crate) running: AtomicUsize,
    served: AtomicU64,
    /// The behaviour and the time at which it was set, in milliseconds since the start.
    behaviour: Mutex<(Behaviour, u64)>,
    rng: Mutex<StdRng>,
}

impl Shared {
    pub(crate) fn try_new(options: StandinOptions, address: SocketAddr) -> errors::Result<Self> {
        Ok(Self {
            address,
            record: Record::try_new(options.record_file.as_deref())?,
            state_changed: Notify::new(),
            crash: CancellationToken::new(),
            running: AtomicUsize::new(0),
            served: AtomicU64::new(0),
            behaviour: Mutex::new((options.behaviour.clone(), 0)),
            rng: Mutex::new(StdRng::seed_from_u64(options.seed)),
            options,
        })
    }

    pub(crate) fn behaviour(&self) -> (Behaviour, u64) {
        lock(&self.behaviour).clone()
    }

    pub(crate) fn set_behaviour(&self, behaviour: Behaviour) {
        *lock(&self.behaviour) = (behaviour, self.record.now_ms());
        self.state_changed.notify_one();
    }

    pub(crate) fn announcement(&self) -> Value {
        let (behaviour, _) = self.behaviour();
        json!({
            "address": self.address.to_string(),
            "state": behaviour.state(self.served.load(Ordering::Relaxed)),
            "slots": behaviour.claimed_slots.unwrap_or(self.options.slots),
        })
    }

    fn random_chance(&self, percent: u8) -> bool {
        percent > 0 && lock(&self.rng).random_range(0..100) < percent
    }

    /// `answer` handles one request: control requests under `/standin/`, the health probe
    /// `/health`, and everything else as work under the current behaviour.
    pub(crate) async fn answer(self: Arc<Self>, req: Request<Incoming>) -> Answer {
        let (parts, body) = req.into_parts();
        let Ok(body) = Limited::new(body, BODY_MAX_BYTES).collect().await else {
            return full_response(StatusCode::BAD_REQUEST, Bytes::new());
        };
        let body = body.to_bytes();
        match (&parts.method, parts.uri.path()) {
            (&Method::GET, "/health") => full_response(StatusCode::OK, Bytes::from_static(b"ok\n")),
            (&Method::GET, "/standin/record") => {
                let record = serde_json::to_vec(&self.record.requests()).unwrap_or_default();
                full_response(StatusCode::OK, Bytes::from(record))
            }
            (&Method::POST, "/standin/behaviour") => match serde_json::from_slice(&body) {
                Ok(behaviour) => {
                    self.set_behaviour(behaviour);
                    full_response(StatusCode::OK, Bytes::new())
                }
                Err(e) => full_response(StatusCode::BAD_REQUEST, Bytes::from(e.to_string())),
            },
            _ => {
                let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
                let req = recorded_request(&parts.method, path, &parts.headers);
                self.work(req, body).await
            }
        }
    }

    async fn work(&self, req: RecordedRequest, body: Bytes) -> Answer {
        let (behaviour, set_at_ms) = self.behaviour();
        let others = self.running.load(Ordering::Relaxed);
        if self.random_chance(behaviour.shed_percent)
            || behaviour.shed_above.is_some_and(|n| others >= n)
        {
            return full_response(
                StatusCode::SERVICE_UNAVAILABLE,
                Bytes::from_static(b"shed\n"),
            );
        }
        let mut running = RunningRequest::start(self, req.clone());
        if let Some(mark) = behaviour.crash_mark.as_deref().map(str::as_bytes)
            && (contains_bytes(req.path.as_bytes(), mark) || contains_bytes(&body, mark))
        {
            self.crash.cancel();
            return future::pending().await;
        }
        if behaviour.stalls(self.record.now_ms().saturating_sub(set_at_ms)) {
            return future::pending().await;
        }
        let n = self.served.fetch_add(1, Ordering::Relaxed);
        time::sleep(Duration::from_millis(behaviour.work_ms(n, &req.path))).await;
        if behaviour.cold_start.is_some_and(|c| n + 1 == c.requests) {
            self.state_changed.notify_one();
        }
        let status = match self.random_chance(behaviour.error_percent) {
            true => StatusCode::INTERNAL_SERVER_ERROR,
            false => StatusCode::OK,
        };
        running.status = Some(status.as_u16());
        let answer = json!({
            "id": req.id,
            "key": req.key,
            "path": req.path,
            "endpoint": self.options.endpoint,
            "body_bytes": body.len(),
            "padding": "x".repeat(behaviour.answer_bytes),
        });
        let answer = Bytes::from(answer.to_string());
        match self.random_chance(behaviour.truncate_percent) {
            true => truncated_response(status, &answer),
            false => full_response(status, answer),
        }
    }
}

/// `RunningRequest` records the end of a request when dropped, also when a closed connection
/// cancels it.
struct RunningRequest<'a> {
    shared: &'a Shared,
    n: usize,
    status: Option<u16>,
}

impl<'a> RunningRequest<'a> {
    fn start(shared: &'a Shared, req: RecordedRequest) -> Self {
        shared.running.fetch_add(1, Ordering::Relaxed);
        Self {
            shared,
            n: shared.record.start(req),
            status: None,
        }
    }
}

impl Drop for RunningRequest<'_> {
    fn drop(&mut self) {
        self.shared.running.fetch_sub(1, Ordering::Relaxed);
        self.shared.record.end(self.n, self.status);
    }
}

fn recorded_request(method: &Method, path: &str, req_headers: &HeaderMap) -> RecordedRequest {
    let header = |name: &str| {
        req_headers
            .get(name)
            .and_then(|v| v.to_str().ok())
            .map(String::from)
    };
    RecordedRequest {
        id: header(REQUEST_ID),
        key: header(headers::IDEMPOTENCY_KEY),
        class: header(headers::CLASS),
        method: method.to_string(),
        path: path.to_owned(),
        ..RecordedRequest::default()
    }
}

fn full_response(status: StatusCode, body: Bytes) -> Answer {
    let body = Full::new(body).map_err(|never| match never {}).boxed();
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    answer
}

/// Sends half of the body, then an error that makes hyper close the connection.
fn truncated_response(status: StatusCode, body: &Bytes) -> Answer {
    let half = body.slice(..body.len() / 2);
    let broken = io::Error::other("truncated on purpose");
    let frames = stream::iter([Ok(Frame::data(half)), Err(broken)]);
    let mut answer = Response::new(BodyExt::boxed(StreamBody::new(frames)));
    *answer.status_mut() = status;
    answer
}

fn contains_bytes(text: &[u8], mark: &[u8]) -> bool {
    !mark.is_empty() && text.windows(mark.len()).any(|w| w == mark)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
