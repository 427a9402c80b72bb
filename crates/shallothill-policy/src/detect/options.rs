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
    /// Log-likelihood ratio at which the server becomes suspect.
    pub threshold: f64,
    /// Time that a suspicion must stand, and a summary be newer, before the server is sick.
    pub confirm_after: Duration,
}

impl DetectOptions {
    /// `new` derives the thresholds from the service's expected latency and disposition.
    pub fn new(expected_latency: Duration, disposition: Disposition) -> Self {
        let ms = |d: f64| Duration::from_micros((d * 1000.0) as u64);
        Self {
            expected_latency,
            slow_factor: disposition.between(4.0, 6.0),
            threshold: disposition.between(8.0, 16.0),
            confirm_after: ms(disposition.between(200.0, 1000.0)),
        }
    }

    /// `from_service` takes expected latency and disposition from the configuration.
    pub fn from_service(service: &Service) -> Self {
        Self::new(service.expected_latency, service.disposition)
    }
}
