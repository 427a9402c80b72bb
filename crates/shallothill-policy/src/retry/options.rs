//! Limits of retries and hedging.

use std::time::Duration;

use shallothill_core::config::Service;

/// `RetryOptions` holds the limits of one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RetryOptions {
    /// Attempts that may reach a backend server, including the first.
    pub max_attempts: u8,
    /// Retries and hedges per 100 first attempts.
    pub budget_percent: u8,
    /// Whether the gates of the service limit its retries, each by its
    /// [`crate::retry::GateRetryBudget`], in place of the budget of each entry node.
    pub bounded_by_gates: bool,
    /// Time after which an idempotent request gets a second, concurrent attempt; `None` without
    /// hedging.
    pub hedge_after: Option<Duration>,
    /// Time that an answer usually takes once no request waits before it; zero if it is not known.
    pub usual_latency: Duration,
}

impl Default for RetryOptions {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            budget_percent: 10,
            bounded_by_gates: false,
            hedge_after: None,
            usual_latency: Duration::ZERO,
        }
    }
}

impl RetryOptions {
    /// `from_service` takes the limits from the configuration.
    pub fn from_service(service: &Service) -> Self {
        Self {
            max_attempts: service.max_attempts,
            budget_percent: service.retry_budget_percent,
            bounded_by_gates: service.retry_budget_saved.is_some(),
            hedge_after: service.hedge_after,
            usual_latency: Duration::ZERO,
        }
    }
}
