//! Services in the configuration.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::config::{Disposition, Floor};
use crate::ids::ServiceName;

/// `Service` is a group of interchangeable backend servers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// The services that this one calls to serve its requests.
    pub depends_on: Vec<ServiceName>,
    /// The requests that one backend server runs concurrently; `None` uses the number that each one
    /// announces.
    pub slots: Option<u16>,
    /// The connections that one backend server accepts.
    pub connections: u32,
    /// The requests that may wait at the gate of one backend server.
    pub queue: u16,
    /// The number of healthy backend servers that ejection must leave.
    pub floor: Floor,
    /// The trade-off between quick detection and few false ejections.
    pub disposition: Disposition,
    /// The usual latency of a response; used while no median of the service is known.
    pub expected_latency: Duration,
    /// The minimum age at which a request counts as slow, if the operator set one.
    pub slow_after: Option<Duration>,
    /// The requests that a cold backend server serves before it gets its full share.
    pub cold_start_requests: u32,
    /// The expected share of time, in percent, during which a backend server has a gray failure: it
    /// fails most requests although its health checks pass. 0 if none is expected.
    pub gray_percent: u8,
    /// Retries allowed per 100 first attempts.
    pub retry_budget_percent: u8,
    /// The retries that all nodes together may save for a burst of failures; `None` lets each node
    /// save ten.
    pub retry_budget_saved: Option<u32>,
    /// The attempts allowed for one request, including the first.
    pub max_attempts: u8,
    /// Time after which an idempotent request is sent to a second backend server, if any.
    pub hedge_after: Option<Duration>,
    /// The bytes per second that one node may send to other regions for this service; `None` for no
    /// limit.
    pub cross_region_bytes_per_s: Option<u64>,
    /// The path at which backend servers respond to health checks, if they do.
    pub health_path: Option<String>,
}
