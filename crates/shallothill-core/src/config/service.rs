//! A service of the configuration.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::config::{Disposition, Floor};
use crate::ids::ServiceName;

/// `Service` is a group of interchangeable backend servers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// The services that this one calls to do its work.
    pub depends_on: Vec<ServiceName>,
    /// Requests that one backend server runs at a time at most; `None` leaves it to what each one
    /// announces.
    pub slots: Option<u16>,
    /// Connections that one backend server accepts.
    pub connections: u32,
    /// Requests that may wait at the gate of one backend server.
    pub queue: u16,
    /// Backend servers that ejection must leave healthy.
    pub floor: Floor,
    /// How evidence of sickness is weighed: quick detection against few false ejections.
    pub disposition: Disposition,
    /// Usual time of an answer; the fallback while no median of the service is known.
    pub expected_latency: Duration,
    /// The age from which a request counts as slow at the earliest, if the operator gave one.
    pub slow_after: Option<Duration>,
    /// Requests that a cold backend server serves before it takes its full share.
    pub cold_start_requests: u32,
    /// The share of time, in percent, for which a backend server fails most requests in spells
    /// while its health checks pass; 0 where none are expected.
    pub gray_percent: u8,
    /// Retries allowed per 100 first attempts.
    pub retry_budget_percent: u8,
    /// Retries that all nodes together may save up for a burst of failures; `None` lets each node
    /// save ten.
    pub retry_budget_saved: Option<u32>,
    /// Attempts allowed for one request, the first included.
    pub max_attempts: u8,
    /// Time after which an idempotent request is sent to a second backend server, if any.
    pub hedge_after: Option<Duration>,
    /// Bytes a second that one node may send to other regions for this service, if limited.
    pub cross_region_bytes_per_s: Option<u64>,
    /// The path at which backend servers answer health checks, if they do.
    pub health_path: Option<String>,
}
