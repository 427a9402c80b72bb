//! The load of a backend server, which is sent to the keepers only.

use serde::{Deserialize, Serialize};
use shallothill_core::ids::{EndpointName, ServiceName};

/// `EndpointLoad` is a backend server's load over the last seconds. The keepers compute the medians
/// of its service from it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointLoad {
    /// The service that the backend server belongs to.
    pub service: ServiceName,
    /// The name that the backend server announces, unique per service and node.
    pub name: EndpointName,
    /// Requests that the backend server is running.
    pub in_flight: u16,
    /// Requests that wait at the gate for a slot.
    pub queued: u16,
    /// Requests completed in the window.
    pub completed: u32,
    /// Median latency of the completed requests, in microseconds.
    pub p50_us: u64,
    /// Greatest age of a request without an answer, in flight or abandoned in the window, in
    /// microseconds.
    pub oldest_us: u64,
    /// Failed requests in the window.
    pub errors: u32,
}
