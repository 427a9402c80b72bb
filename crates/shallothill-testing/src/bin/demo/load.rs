//! Generates load: callers that send requests and resend those with an unknown outcome.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde::Deserialize;
use shallothill_core::headers;
use shallothill_core::outcome::Outcome;
use shallothill_testing::http::{Client, Reply};
use shallothill_testing::record::REQUEST_ID;
use shallothill_testing::request::{Request, Send};
use tokio::task::JoinSet;
use tokio::time;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

use crate::deployment::RequestKind;

/// `DEADLINE_MS` is the deadline that callers set in each request, in milliseconds.
const DEADLINE_MS: &str = "3000";
/// `CLIENT_TIMEOUT` is the client-side timeout: the deadline plus an allowance for the transfer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(4000);
/// `MAX_SENDS` is the maximum number of attempts to send one request.
const MAX_SENDS: usize = 3;
/// `RESEND_DELAY` is the time before a resend.
const RESEND_DELAY: Duration = Duration::from_millis(200);
/// `THINK_TIME` is the pause of a caller between two requests.
const THINK_TIME: Duration = Duration::from_millis(30);

/// `EntryNode` is a node to which callers send their requests.
#[derive(Clone, Debug)]
pub(crate) struct EntryNode {
    pub(crate) region: String,
    pub(crate) address: SocketAddr,
}

/// `LoadGenerator` holds the tasks of the running callers.
pub(crate) struct LoadGenerator {
    callers: JoinSet<Vec<Request>>,
    stop: CancellationToken,
    before_faults: Arc<AtomicBool>,
}

/// `Answer` holds the fields of a stand-in's response that callers check.
#[derive(Deserialize)]
struct Answer {
    id: Option<String>,
    key: Option<String>,
}

impl LoadGenerator {
    /// `start` starts `callers_per_kind` callers of each kind, spread over the `entries`.
    pub(crate) fn start(
        kinds: &[RequestKind],
        entries: &[EntryNode],
        callers_per_kind: usize,
    ) -> Self {
        let mut callers = JoinSet::new();
        let stop = CancellationToken::new();
        let before_faults = Arc::new(AtomicBool::new(true));
        for (kind_index, k) in kinds.iter().enumerate() {
            for i in 0..callers_per_kind {
                let number = kind_index * callers_per_kind + i;
                let caller = Caller {
                    name: format!("c{number}"),
                    kind_index,
                    request_kind: k.clone(),
                    // Callers with adjacent numbers start at distant nodes.
                    entries: entries.to_vec(),
                    entry: number * 7 % entries.len().max(1),
                    client: Client::default(),
                    before_faults: Arc::clone(&before_faults),
                };
                callers.spawn(caller.run(stop.clone()));
            }
        }
        Self {
            callers,
            stop,
            before_faults,
        }
    }

    /// `mark_faults_started` ends the fault-free period, over which the added latency is measured.
    pub(crate) fn mark_faults_started(&self) {
        self.before_faults.store(false, Ordering::Relaxed);
    }

    /// `finish` waits until every caller has finished its current request and returns all requests.
    pub(crate) async fn finish(mut self) -> Vec<Request> {
        self.stop.cancel();
        let mut requests = Vec::new();
        while let Some(done) = self.callers.join_next().await {
            requests.extend(done.unwrap_or_default());
        }
        requests
    }
}

/// `Caller` sends requests of one kind, one at a time.
struct Caller {
    name: String,
    kind_index: usize,
    request_kind: RequestKind,
    entries: Vec<EntryNode>,
    entry: usize,
    client: Client,
    before_faults: Arc<AtomicBool>,
}

impl Caller {
    async fn run(mut self, stop: CancellationToken) -> Vec<Request> {
        let mut requests = Vec::new();
        while !stop.is_cancelled() {
            let id = format!("{}-{}", self.name, requests.len());
            requests.push(self.request(&id).await);
            time::sleep(THINK_TIME).await;
        }
        requests
    }

    async fn request(&mut self, id: &str) -> Request {
        let region = self.entries[self.entry].region.clone();
        let key = (!self.request_kind.idempotent).then(|| format!("{region}.{}", Uuid::now_v7()));
        let mut request = Request {
            kind: self.kind_index,
            before_faults: self.before_faults.load(Ordering::Relaxed),
            key,
            sends: Vec::new(),
        };
        for n in 1..=MAX_SENDS {
            let send = self.send(format!("{id}.{n}"), request.key.as_deref()).await;
            let resend = send.outcome == Outcome::Unknown;
            if send.status.is_none() {
                // The node may be down, so the caller switches to the next one.
                self.entry = (self.entry + 1) % self.entries.len();
            }
            request.sends.push(send);
            if !resend {
                break;
            }
            time::sleep(RESEND_DELAY).await;
        }
        request
    }

    async fn send(&self, id: String, key: Option<&str>) -> Send {
        let mut req_headers = vec![
            (REQUEST_ID, id.as_str()),
            (headers::CALLER, self.request_kind.caller),
            (headers::DEADLINE_MS, DEADLINE_MS),
        ];
        req_headers.extend(key.map(|k| (headers::IDEMPOTENCY_KEY, k)));
        let body = key.map_or(Bytes::new(), |k| Bytes::from(format!("request of {k}")));
        let address = self.entries[self.entry].address;
        let start = Instant::now();
        let method = self.request_kind.method.clone();
        let sent = self.client.send(
            method,
            address,
            self.request_kind.path,
            &req_headers,
            body,
            CLIENT_TIMEOUT,
        );
        let reply = sent.await.ok();
        let latency = start.elapsed();
        let outcome = reply
            .as_ref()
            .and_then(|r| r.header(headers::OUTCOME)?.parse().ok());
        let mut send = Send {
            outcome: outcome.unwrap_or(Outcome::Unknown),
            status: reply.as_ref().map(|r| r.status.as_u16()),
            reason: reply
                .as_ref()
                .and_then(|r| r.header(headers::REASON).map(String::from)),
            wrong_answer: false,
            latency,
            id,
        };
        send.wrong_answer =
            send.succeeded() && !reply.is_some_and(|r| belongs_to_request(&r, &send.id, key));
        send
    }
}

/// Returns whether a response belongs to the request. The stored response to an earlier attempt has
/// another id but the same key.
fn belongs_to_request(reply: &Reply, id: &str, key: Option<&str>) -> bool {
    let Ok(answer) = serde_json::from_slice::<Answer>(&reply.body) else {
        return false;
    };
    answer.id.as_deref() == Some(id) || (key.is_some() && answer.key.as_deref() == key)
}
