//! Limits for the requests and connections of callers.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// `Limits` bounds the requests and connections of all callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// The size of the headers of one request in bytes.
    pub header_bytes: u64,
    /// The size of the body of one request in bytes; it also applies where a route allows more.
    pub body_bytes: u64,
    /// Time in which the headers of a request must arrive.
    pub header_timeout: Duration,
    /// Time after which a connection without a request may be closed.
    pub idle_timeout: Duration,
}
