//! Thresholds of failure detection, derived from the disposition of the service.

use std::time::Duration;

use shallothill_core::config::{Disposition, Service};

/// `DetectOptions` holds the thresholds of failure detection for one service.
#[derive(Clone, Debug, PartialEq)]
pub struct DetectOptions {
    /// Median latency to assume while there is no fresh summary.
    pub expected_latency: Duration,
    /// Multiple of the median latency above which a request is slow.
    pub slow_factor: f64,
    /// Lower bound of the slow threshold, for services whose requests differ widely in latency;
    /// zero for none.
    pub min_slow_threshold: Duration,
    /// Log-likelihood ratio of unhealthy to healthy at which the server becomes suspect.
    pub score_threshold: f64,
    /// Distinct bad requests that are required before the server is unhealthy.
    pub min_bad_requests: u32,
    /// How long a suspicion must last, and how much newer than its start a summary must be, before
    /// the server is unhealthy.
    pub confirm_after: Duration,
    /// Age above which a summary is ignored.
    pub summary_max_age: Duration,
}

impl DetectOptions {
    /// `new` derives the thresholds from the expected latency and the disposition of the service.
    pub fn new(expected_latency: Duration, disposition: Disposition) -> Self {
        Self {
            expected_latency,
            slow_factor: disposition.interpolate(4.0, 6.0),
            min_slow_threshold: Duration::ZERO,
            // Reached by three and six bad requests in a row.
            score_threshold: disposition.interpolate(9.0, 19.0),
            min_bad_requests: disposition.interpolate(2.0, 4.0).round() as u32,
            // Pauses of up to about a second, such as those of garbage collection, are not a fault.
            confirm_after: Duration::from_millis(disposition.interpolate(1000.0, 1500.0) as u64),
            summary_max_age: Duration::from_secs(10),
        }
    }

    /// `from_service` takes expected latency, disposition and minimum slow threshold from the
    /// configuration.
    pub fn from_service(service: &Service) -> Self {
        Self {
            min_slow_threshold: service.slow_after.unwrap_or_default(),
            ..Self::new(service.expected_latency, service.disposition)
        }
    }
}
