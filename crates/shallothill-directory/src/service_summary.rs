//! The usual behaviour of a service's backend servers.

use serde::{Deserialize, Serialize};
use shallothill_core::ids::ServiceName;

/// `ServiceSummary` is what is usual among the backend servers of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceSummary {
    /// The service.
    pub service: ServiceName,
    /// Backend servers that the summary covers.
    pub endpoints: u32,
    /// Median over the backend servers of their median latency, in microseconds.
    pub p50_us: u64,
    /// Median over the backend servers of the age of their oldest request, in microseconds.
    pub oldest_us: u64,
    /// Completed requests in the window over all backend servers.
    pub completed: u64,
    /// Errors in the window over all backend servers.
    pub errors: u64,
}
