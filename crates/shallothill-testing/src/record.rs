//! The stand-in's own record of the requests that it ran.

use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use serde::{Deserialize, Serialize};

/// `REQUEST_ID` is the header by which a test recognizes its request.
pub const REQUEST_ID: &str = "x-request-id";

/// `RecordedRequest` is one request that reached the stand-in's work.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordedRequest {
    /// The value of [`REQUEST_ID`], if given.
    pub id: Option<String>,
    /// The idempotency key, if given.
    pub key: Option<String>,
    /// The class header, if given.
    pub class: Option<String>,
    /// The method.
    pub method: String,
    /// The path with the query.
    pub path: String,
    /// When it started, in milliseconds since the stand-in started.
    pub start_ms: u64,
    /// When it ended, or `None` while it runs.
    pub end_ms: Option<u64>,
    /// The status of the answer, if there was one.
    pub status: Option<u16>,
    /// Whether the connection was closed before the work was done.
    pub cancelled: bool,
}

/// `Record` holds the requests in the order of their start.
#[derive(Debug)]
pub struct Record {
    started: Instant,
    requests: Mutex<Vec<RecordedRequest>>,
}

impl Default for Record {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            requests: Mutex::default(),
        }
    }
}

impl Record {
    /// `now_ms` returns the milliseconds since the stand-in started.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// `start` adds a request and returns its number, from 0.
    pub fn start(&self, mut req: RecordedRequest) -> usize {
        req.start_ms = self.now_ms();
        let mut requests = self.lock();
        requests.push(req);
        requests.len() - 1
    }

    /// `end` notes the end of request `n` with its status, or as cancelled without one.
    pub fn end(&self, n: usize, status: Option<u16>) {
        let now = self.now_ms();
        if let Some(req) = self.lock().get_mut(n) {
            req.end_ms = Some(now);
            req.status = status;
            req.cancelled = status.is_none();
        }
    }

    /// `requests` returns a copy of the record.
    pub fn requests(&self) -> Vec<RecordedRequest> {
        self.lock().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<RecordedRequest>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
