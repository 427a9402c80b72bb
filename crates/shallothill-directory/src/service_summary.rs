//! The typical load of a service's backend servers.

use serde::{Deserialize, Serialize};
use shallothill_core::ids::ServiceName;

/// `ServiceSummary` holds medians and totals over the backend servers of a service, to which a gate
/// compares its own backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceSummary {
    /// The summarized service.
    pub service: ServiceName,
    /// Number of backend servers that the summary covers.
    pub endpoints: u32,
    /// Median over the backend servers of their median latency, in microseconds.
    pub p50_us: u64,
    /// Median over the backend servers of the age of their oldest request, in microseconds.
    pub oldest_us: u64,
    /// Completed requests in the window over all backend servers.
    pub completed: u64,
    /// Failed requests in the window over all backend servers.
    pub errors: u64,
}
