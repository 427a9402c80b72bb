//! Callers that send requests, and resend those whose result they do not know.

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

use crate::deployment::Kind;

/// `DEADLINE_MS` is the deadline that callers send.
const DEADLINE_MS: &str = "3000";
/// `GIVE_UP` is when a caller stops waiting: the deadline and some time for the way.
const GIVE_UP: Duration = Duration::from_millis(4000);
/// `SENDS_MAX` bounds the sends of one request.
const SENDS_MAX: usize = 3;
/// `RESEND_PAUSE` is the pause before a resend.
const RESEND_PAUSE: Duration = Duration::from_millis(200);
/// `THINK` is the pause of a caller between two requests.
const THINK: Duration = Duration::from_millis(30);

/// `Entry` is a node that callers of a region may use.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) region: String,
    pub(crate) address: SocketAddr,
}

/// `Load` is the running callers.
pub(crate) struct Load {
    callers: JoinSet<Vec<Request>>,
    stop: CancellationToken,
    quiet: Arc<AtomicBool>,
}

/// `Answer` is the part of a stand-in's answer that callers check.
#[derive(Deserialize)]
struct Answer {
    id: Option<String>,
    key: Option<String>,
}

impl Load {
    /// `start` starts `callers_per_kind` callers of each kind, spread over the entries.
    pub(crate) fn start(kinds: &[Kind], entries: &[Entry], callers_per_kind: usize) -> Self {
        let mut callers = JoinSet::new();
        let stop = CancellationToken::new();
        let quiet = Arc::new(AtomicBool::new(true));
        for (kind, k) in kinds.iter().enumerate() {
            for i in 0..callers_per_kind {
                let number = kind * callers_per_kind + i;
                let caller = Caller {
                    name: format!("c{number}"),
                    kind,
                    what: k.clone(),
                    // Neighbouring callers start at distant entries.
                    entries: entries.to_vec(),
                    entry: number * 7 % entries.len().max(1),
                    client: Client::default(),
                    quiet: Arc::clone(&quiet),
                };
                callers.spawn(caller.run(stop.clone()));
            }
        }
        Self {
            callers,
            stop,
            quiet,
        }
    }

    /// `faults_begin` ends the quiet time, in which the added latency is measured.
    pub(crate) fn faults_begin(&self) {
        self.quiet.store(false, Ordering::Relaxed);
    }

    /// `finish` lets every caller finish its request and returns all requests.
    pub(crate) async fn finish(mut self) -> Vec<Request> {
        self.stop.cancel();
        let mut requests = Vec::new();
        while let Some(done) = self.callers.join_next().await {
            requests.extend(done.unwrap_or_default());
        }
        requests
    }
}

/// `Caller` sends one request after the other.
struct Caller {
    name: String,
    kind: usize,
    what: Kind,
    entries: Vec<Entry>,
    entry: usize,
    client: Client,
    quiet: Arc<AtomicBool>,
}

impl Caller {
    async fn run(mut self, stop: CancellationToken) -> Vec<Request> {
        let mut requests = Vec::new();
        while !stop.is_cancelled() {
            let id = format!("{}-{}", self.name, requests.len());
            requests.push(self.request(&id).await);
            time::sleep(THINK).await;
        }
        requests
    }

    async fn request(&mut self, id: &str) -> Request {
        let region = self.entries[self.entry].region.clone();
        let key = (!self.what.idempotent).then(|| format!("{region}.{}", Uuid::now_v7()));
        let mut request = Request {
            kind: self.kind,
            quiet: self.quiet.load(Ordering::Relaxed),
            key,
            sends: Vec::new(),
        };
        for n in 1..=SENDS_MAX {
            let send = self.send(format!("{id}.{n}"), request.key.as_deref()).await;
            let again = send.outcome == Outcome::Unknown;
            if send.status.is_none() {
                // The node may be gone; callers go to the next one.
                self.entry = (self.entry + 1) % self.entries.len();
            }
            request.sends.push(send);
            if !again {
                break;
            }
            time::sleep(RESEND_PAUSE).await;
        }
        request
    }

    async fn send(&self, id: String, key: Option<&str>) -> Send {
        let mut given = vec![
            (REQUEST_ID, id.as_str()),
            (headers::CALLER, self.what.caller),
            (headers::DEADLINE_MS, DEADLINE_MS),
        ];
        given.extend(key.map(|k| (headers::IDEMPOTENCY_KEY, k)));
        let body = key.map_or(Bytes::new(), |k| Bytes::from(format!("request of {k}")));
        let address = self.entries[self.entry].address;
        let start = Instant::now();
        let method = self.what.method.clone();
        let sent = self
            .client
            .send(method, address, self.what.path, &given, body, GIVE_UP);
        let reply = sent.await.ok();
        let took = start.elapsed();
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
            took,
            id,
        };
        send.wrong_answer = send.succeeded() && !reply.is_some_and(|r| own(&r, &send.id, key));
        send
    }
}

/// `own` tells whether an answer belongs to the request. The stored answer of an earlier send has
/// another id, but the same key.
fn own(reply: &Reply, id: &str, key: Option<&str>) -> bool {
    let Ok(answer) = serde_json::from_slice::<Answer>(&reply.body) else {
        return false;
    };
    answer.id.as_deref() == Some(id) || (key.is_some() && answer.key.as_deref() == key)
}
