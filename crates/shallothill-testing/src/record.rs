//! Record of the requests that a stand-in ran, as the ground truth for tests.

use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::errors;

/// `REQUEST_ID` is the header that carries the id by which a test identifies its request.
pub const REQUEST_ID: &str = "x-request-id";

/// `RecordedRequest` is one request that the stand-in began to process.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordedRequest {
    /// The value of [`REQUEST_ID`], if given.
    pub id: Option<String>,
    /// The idempotency key, if given.
    pub key: Option<String>,
    /// The class header, if given.
    pub class: Option<String>,
    /// The HTTP method.
    pub method: String,
    /// The path, with the query string.
    pub path: String,
    /// When it started, in milliseconds since the stand-in started.
    pub start_ms: u64,
    /// When it ended, or `None` while it runs.
    pub end_ms: Option<u64>,
    /// The status of the response, or `None` if it is running or was cancelled.
    pub status: Option<u16>,
    /// Whether the connection was closed before the work was done.
    pub cancelled: bool,
}

/// `Record` holds the requests in the order in which they started.
///
/// With a file, it appends a line at each start and each end, so that the record of a killed
/// process can still be read.
#[derive(Debug)]
pub struct Record {
    started: Instant,
    requests: Mutex<Vec<RecordedRequest>>,
    file: Option<File>,
}

impl Record {
    /// `try_new` creates an empty record, which is also appended to the file `path` if given.
    ///
    /// Fails with `File` when the file cannot be created.
    pub fn try_new(path: Option<&Path>) -> errors::Result<Self> {
        let file = path.map(|path| {
            let created = File::options().create(true).append(true).open(path);
            created.context(errors::FileSnafu {
                path: path.to_string_lossy(),
            })
        });
        Ok(Self {
            started: Instant::now(),
            requests: Mutex::default(),
            file: file.transpose()?,
        })
    }

    /// `read_file` reads the requests from the file of a record, with the last state of each.
    ///
    /// Fails with `File` when the file cannot be read; a line that is incomplete
    /// because the process was killed is skipped.
    pub fn read_file(path: &Path) -> errors::Result<Vec<RecordedRequest>> {
        let text = fs::read_to_string(path);
        let text = text.context(errors::FileSnafu {
            path: path.to_string_lossy(),
        })?;
        let lines = text.lines().filter_map(|l| serde_json::from_str(l).ok());
        // The line written at the end of a request replaces the one written at its start.
        let by_number: BTreeMap<usize, RecordedRequest> = lines.collect();
        Ok(by_number.into_values().collect())
    }

    /// `now_ms` returns the milliseconds since the stand-in started.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// `start` adds a request, sets its start time and returns its index.
    pub fn start(&self, mut req: RecordedRequest) -> usize {
        req.start_ms = self.now_ms();
        let mut requests = self.lock();
        self.append_to_file(requests.len(), &req);
        requests.push(req);
        requests.len() - 1
    }

    /// `end` sets the end time and status of request `n`; without a status it is cancelled.
    pub fn end(&self, n: usize, status: Option<u16>) {
        let now = self.now_ms();
        if let Some(req) = self.lock().get_mut(n) {
            req.end_ms = Some(now);
            req.status = status;
            req.cancelled = status.is_none();
            self.append_to_file(n, req);
        }
    }

    fn append_to_file(&self, n: usize, req: &RecordedRequest) {
        if let Some(mut file) = self.file.as_ref() {
            let mut line = serde_json::to_string(&(n, req)).unwrap_or_default();
            line.push('\n');
            // A single call writes the complete line, so lines never interleave when the process is
            // killed.
            if let Err(e) = file.write_all(line.as_bytes()) {
                log::error!(
                    "record: cannot append to the record file: {e}; the record is incomplete"
                );
            }
        }
    }

    /// `requests` returns a copy of all requests, running ones included.
    pub fn requests(&self) -> Vec<RecordedRequest> {
        self.lock().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<RecordedRequest>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
