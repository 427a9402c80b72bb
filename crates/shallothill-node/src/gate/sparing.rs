//! Keeps requests away from a backend server that would likely fail them, and bounds its retries.

use shallothill_core::health::ServingState;
use shallothill_policy::gray::Caution;
use shallothill_policy::retry::{Allowance, AllowanceOptions};

use crate::gate::Endpoint;
use crate::refusal::Refusal;

impl Endpoint {
    /// `spare` keeps requests away from a backend server that is likely in a spell of gray failure.
    ///
    /// Fails with a refusal as not run.
    pub(crate) fn spare(&self, caution: Caution) -> Result<(), Refusal> {
        let now = self.now();
        if self.lock().gray.admits(now, caution) {
            return Ok(());
        }
        Err(SUSPECT)
    }

    /// `share_retries` sets the part in the retries of the service, or lifts the bound.
    pub(crate) fn share_retries(&self, options: Option<AllowanceOptions>) {
        let now = self.now();
        let mut inner = self.lock();
        match (options, &mut inner.allowance) {
            (None, allowance) => *allowance = None,
            (Some(options), Some(allowance)) => allowance.set_options(options),
            (Some(options), allowance) => *allowance = Some(Allowance::new(options, now)),
        }
    }

    /// `may_retry` tells whether a repeated request would be passed on now.
    ///
    /// Fails with a refusal as not run.
    pub(crate) fn may_retry(&self) -> Result<(), Refusal> {
        let now = self.now();
        match &self.lock().allowance {
            Some(allowance) if !allowance.allows(now) => Err(RETRIES_USED),
            _ => Ok(()),
        }
    }

    /// `take_retry` counts a repeated request that is passed on.
    ///
    /// Fails with a refusal as not run when the part in the retries is used up.
    pub(crate) fn take_retry(&self) -> Result<(), Refusal> {
        self.may_retry()?;
        let now = self.now();
        if let Some(allowance) = &mut self.lock().allowance {
            allowance.repeated(now);
        }
        Ok(())
    }

    /// `count_first` counts a request that is passed on for the first time.
    pub(crate) fn count_first(&self) {
        let now = self.now();
        if let Some(allowance) = &mut self.lock().allowance {
            allowance.first(now);
        }
    }

    /// `spell_percent` returns the probability of a spell of gray failure, in percent.
    pub(crate) fn spell_percent(&self) -> u8 {
        let now = self.now();
        (self.lock().gray.probability(now) * 100.0) as u8
    }

    /// `suspicion` returns the state to tell others while a spell of gray failure is likely, or while
    /// the backend server is sick without a lease: `Ejected` when a trial is due, else `Demoted`.
    pub(crate) fn suspicion(&self) -> Option<ServingState> {
        let now = self.now();
        let inner = self.lock();
        let wants_trial = if inner.gray.is_suspect(now) {
            inner.gray.wants_trial(now)
        } else if inner.health.is_demoted(now) {
            inner.health.wants_trial(now)
        } else {
            return None;
        };
        Some(if wants_trial {
            ServingState::Ejected
        } else {
            ServingState::Demoted
        })
    }
}

/// `RETRY_BUDGET_REASON` is the reason of refusals of repeated requests, of which a service has enough.
pub(crate) const RETRY_BUDGET_REASON: &str = "retry-budget";

const RETRIES_USED: Refusal = Refusal::not_run(
    RETRY_BUDGET_REASON,
    "the service has no retries left at this backend server; send the request again",
);

const SUSPECT: Refusal = Refusal::not_run(
    "suspect",
    "the backend server fails most requests now; send the request again",
);
