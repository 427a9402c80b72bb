//! Limits of what callers may send.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// `Limits` bounds the requests and connections of all callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Bytes of the headers of one request.
    pub header_bytes: u64,
    /// Bytes of the body of one request, also where a route allows more.
    pub body_bytes: u64,
    /// Time in which the headers of a request must arrive.
    pub header_timeout: Duration,
    /// Time after which a connection without a request may be closed.
    pub idle_timeout: Duration,
}
