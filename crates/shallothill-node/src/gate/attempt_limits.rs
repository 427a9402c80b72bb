//! Refuses attempts at a backend server during a suspected gray failure and bounds its retries.

use shallothill_core::health::ServingState;
use shallothill_policy::gray::Caution;
use shallothill_policy::retry::{GateRetryBudget, GateRetryOptions, RetryWorth};

use crate::gate::Endpoint;
use crate::refusal::Refusal;

impl Endpoint {
    /// `check_gray_failure` admits or refuses an attempt according to the estimated probability of
    /// a gray failure; `caution` is what the entry node permits.
    ///
    /// Fails with a refusal of outcome `RefusedNotRun`.
    pub(crate) fn check_gray_failure(&self, caution: Caution) -> Result<(), Refusal> {
        let now = self.now();
        if self.lock().gray.admits(now, caution) {
            return Ok(());
        }
        Err(SUSPECTED)
    }

    /// `set_retry_allowance` sets this endpoint's part of the service's retry budget; `None`
    /// removes the bound.
    pub(crate) fn set_retry_allowance(&self, options: Option<GateRetryOptions>) {
        let now = self.now();
        let mut inner = self.lock();
        match (options, &mut inner.retry_allowance) {
            (None, allowance) => *allowance = None,
            (Some(options), Some(allowance)) => allowance.set_options(now, options),
            (Some(options), allowance) => *allowance = Some(GateRetryBudget::new(options, now)),
        }
    }

    /// `check_retry_allowance` tells whether a repeated request would be passed on now, without
    /// counting it.
    ///
    /// Fails with a refusal of outcome `RefusedNotRun`.
    pub(crate) fn check_retry_allowance(&self, worth: RetryWorth) -> Result<(), Refusal> {
        let now = self.now();
        match &self.lock().retry_allowance {
            Some(allowance) if !allowance.allows_retry(now, worth) => Err(RETRIES_EXHAUSTED),
            _ => Ok(()),
        }
    }

    /// `consume_retry` counts a repeated request against the retry allowance.
    ///
    /// Fails with a refusal of outcome `RefusedNotRun` when the allowance is used up.
    pub(crate) fn consume_retry(&self, worth: RetryWorth) -> Result<(), Refusal> {
        let now = self.now();
        let mut inner = self.lock();
        let allowance = inner.retry_allowance.as_mut();
        if allowance.is_none_or(|a| a.try_retry(now, worth)) {
            Ok(())
        } else {
            Err(RETRIES_EXHAUSTED)
        }
    }

    /// `count_first_attempt` counts a request of `rank` that is passed on for the first time; retries are
    /// granted in proportion to these.
    pub(crate) fn count_first_attempt(&self, rank: u8) {
        let now = self.now();
        if let Some(allowance) = &mut self.lock().retry_allowance {
            allowance.record_first(now, rank);
        }
    }

    /// `gray_failure_percent` returns the estimated probability of a gray failure, in percent.
    pub(crate) fn gray_failure_percent(&self) -> u8 {
        let now = self.now();
        (self.lock().gray.probability(now) * 100.0) as u8
    }

    /// `suspicion_left_ms` returns for how many milliseconds the suspicion of a gray failure will
    /// last without further evidence; 0 without a suspicion.
    pub(crate) fn suspicion_left_ms(&self) -> u16 {
        let now = self.now();
        let left = self.lock().gray.suspected_for(now);
        u16::try_from(left.as_millis()).unwrap_or(u16::MAX)
    }

    /// `doubted_state` returns the state to report to other nodes while a gray failure is suspected
    /// or the backend server is unhealthy without an ejection lease: `Ejected` when a trial request
    /// is due, else `Demoted`. It is `Unproven` for a server that has served too little lately for
    /// requests that must run at most once, and `None` when there is no doubt.
    pub(crate) fn doubted_state(&self) -> Option<ServingState> {
        let now = self.now();
        let inner = self.lock();
        let wants_trial = if inner.gray.is_suspect(now) {
            inner.gray.wants_trial(now)
        } else if inner.health.is_demoted(now) {
            inner.health.needs_trial(now)
        } else {
            return inner.is_unproven(now).then_some(ServingState::Unproven);
        };
        Some(if wants_trial {
            ServingState::Ejected
        } else {
            ServingState::Demoted
        })
    }
}

/// `RETRY_BUDGET_REASON` is the reason for refusing a repeated request when the retry budget of its
/// service is used up.
pub(crate) const RETRY_BUDGET_REASON: &str = "retry-budget";

const RETRIES_EXHAUSTED: Refusal = Refusal::not_run(
    RETRY_BUDGET_REASON,
    "the service has no retries left at this backend server; send the request again",
);

const SUSPECTED: Refusal = Refusal::not_run(
    "suspect",
    "the backend server fails most requests now; send the request again",
);
