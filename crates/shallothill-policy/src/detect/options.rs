//! Thresholds of detection, as functions of the disposition.

use std::time::Duration;

use shallothill_core::config::{Disposition, Service};

/// `DetectOptions` holds the thresholds of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct DetectOptions {
    /// Fallback for the service's median latency.
    pub expected_latency: Duration,
    /// A request counts against its server when it takes longer than this many medians.
    pub slow_factor: f64,
    /// The least time from which a request counts as slow, for services whose requests differ much
    /// in their usual times; zero leaves it to the medians.
    pub min_slow_threshold: Duration,
    /// Log-likelihood ratio of sick to healthy at which the server becomes suspect.
    pub score_threshold: f64,
    /// Different requests that must have counted against the server before it is sick.
    pub min_bad_requests: u32,
    /// Time that a suspicion must stand, and a summary be newer, before the server is sick.
    pub confirm_after: Duration,
    /// Age after which a summary no longer tells what is usual.
    pub summary_max_age: Duration,
}

impl DetectOptions {
    /// `new` derives the thresholds from the service's expected latency and disposition.
    pub fn new(expected_latency: Duration, disposition: Disposition) -> Self {
        Self {
            expected_latency,
            slow_factor: disposition.between(4.0, 6.0),
            min_slow_threshold: Duration::ZERO,
            // The evidence of three and six bad requests in a row.
            score_threshold: disposition.between(9.0, 19.0),
            min_bad_requests: disposition.between(2.0, 4.0).round() as u32,
            // Pauses of up to about a second, such as for a collection of garbage, are no sickness.
            confirm_after: Duration::from_millis(disposition.between(1000.0, 1500.0) as u64),
            summary_max_age: Duration::from_secs(10),
        }
    }

    /// `from_service` takes expected latency and disposition from the configuration.
    pub fn from_service(service: &Service) -> Self {
        Self {
            min_slow_threshold: service.slow_after.unwrap_or_default(),
            ..Self::new(service.expected_latency, service.disposition)
        }
    }
}
