//! How a request ended, as seen by the gate.

use std::time::Duration;

/// `Evidence` is the end of one request as input to failure detection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Evidence {
    /// The backend server answered after this time.
    Served(Duration),
    /// The backend server answered with an error of its own (5xx other than 503).
    Failed,
    /// The connection was reset or closed before the response was complete.
    Reset,
    /// The backend server shed the request (503), which is a sign of load and not of a fault.
    Shed,
    /// The deadline passed or the caller disconnected; only the age of the request counts.
    Abandoned,
}
