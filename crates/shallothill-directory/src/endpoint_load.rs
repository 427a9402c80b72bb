//! What only the keepers know of a backend server.

use serde::{Deserialize, Serialize};
use shallothill_core::ids::{EndpointName, ServiceName};

/// `EndpointLoad` is a backend server's load over the last seconds, for medians of the service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointLoad {
    /// The service.
    pub service: ServiceName,
    /// The announced name.
    pub name: EndpointName,
    /// Requests in flight.
    pub in_flight: u16,
    /// Requests that wait at the gate.
    pub queued: u16,
    /// Requests completed in the window.
    pub completed: u32,
    /// Median latency of the completed requests, in microseconds.
    pub p50_us: u64,
    /// Greatest age of a request without an answer, in flight or given up in the window, in
    /// microseconds.
    pub oldest_us: u64,
    /// Errors in the window.
    pub errors: u32,
}
