//! Limits of the retries that one gate passes on.

use std::time::Duration;

use shallothill_core::config::Service;

/// `GateRetryOptions` holds one gate's share of the retry budget of its service.
#[derive(Clone, Debug, PartialEq)]
pub struct GateRetryOptions {
    /// Retries per 100 first requests.
    pub budget_percent: u8,
    /// Retries per window in addition to that.
    pub saved_retries: f64,
    /// The length of the sliding window.
    pub window: Duration,
}

impl Default for GateRetryOptions {
    fn default() -> Self {
        Self {
            budget_percent: 10,
            saved_retries: 10.0,
            window: Duration::from_secs(10),
        }
    }
}

impl GateRetryOptions {
    /// `from_service` divides the saved retries of a service by its number of `gates`; `None` if
    /// each entry node counts retries instead.
    pub fn from_service(service: &Service, gates: usize) -> Option<Self> {
        let saved = f64::from(service.retry_budget_saved?);
        Some(Self {
            budget_percent: service.retry_budget_percent,
            saved_retries: saved / gates.max(1) as f64,
            ..Self::default()
        })
    }
}
