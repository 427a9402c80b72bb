//! How a request ended at the gate.

use std::time::Duration;

/// `Evidence` is what one ended request tells about its backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Evidence {
    /// The request was answered in this time.
    Served(Duration),
    /// The backend server answered with an error of its own (5xx other than 503).
    Failed,
    /// The connection was reset or broke before the answer was complete.
    Reset,
    /// The backend server shed the request (503); load, not sickness.
    Shed,
    /// The deadline passed or the caller left; only the request's age counts.
    Abandoned,
}
