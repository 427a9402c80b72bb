//! State machine that ejects one endpoint under a lease and returns it to service after trials.

use std::time::Duration;

use shallothill_core::health::ServingState;
use shallothill_core::ids::{EndpointId, KeeperId, Region};
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::Millis;
use shallothill_directory::{
    HolderState, LeaseHolder, LeaseOptions, LeaseReply, LeaseRequest, ReleaseRequest,
};

use crate::detect::Verdict;
use crate::eject::options::EjectOptions;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Serving,
    Suspect,
    Unhealthy {
        step: usize,
        passed: u16,
        trials_from: Millis,
    },
}

/// `Ejector` turns verdicts into a serving state. It ejects the endpoint only while it holds a
/// lease and demotes it otherwise. Trials with growing concurrency return the endpoint to service.
#[derive(Clone, Debug)]
pub struct Ejector {
    options: EjectOptions,
    holder: LeaseHolder,
    phase: Phase,
    flap_count: u32,
    last_flap: Millis,
}

impl Ejector {
    /// `new` creates the ejector of `endpoint` in `region`, whose leases `keepers` grant.
    ///
    /// `incarnation` must be higher than that of every earlier ejector of the same endpoint,
    /// including those of earlier processes. A restarted backend server keeps its ejector, see
    /// [`Ejector::reset`].
    pub fn new(
        endpoint: EndpointId,
        region: Region,
        keepers: &[KeeperId],
        incarnation: Incarnation,
        lease: LeaseOptions,
        options: EjectOptions,
    ) -> Self {
        Self {
            options,
            holder: LeaseHolder::new(endpoint, region, keepers, incarnation, lease),
            phase: Phase::Serving,
            flap_count: 0,
            last_flap: Millis(0),
        }
    }

    /// `on_verdict` processes the detector's verdict. An endpoint that becomes unhealthy requests a
    /// lease and starts the backoff before its first trial.
    pub fn on_verdict(&mut self, now: Millis, verdict: Verdict) {
        match (self.phase, verdict) {
            (Phase::Serving, Verdict::Suspect(_)) => self.phase = Phase::Suspect,
            (Phase::Suspect, Verdict::Healthy) => self.phase = Phase::Serving,
            (Phase::Serving | Phase::Suspect, Verdict::Unhealthy(_)) => {
                self.decay_flaps(now);
                self.flap_count += 1;
                self.last_flap = now;
                self.holder.request_lease();
                self.restart_trials(now);
            }
            _ => {}
        }
    }

    /// `is_unhealthy` returns whether the endpoint is ejected, or would be if a lease were held.
    pub fn is_unhealthy(&self) -> bool {
        matches!(self.phase, Phase::Unhealthy { .. })
    }

    /// `on_trial` processes the end of a request that was started while the endpoint was unhealthy.
    /// Returns whether the endpoint has recovered; the owner then calls `Detector::clear` and sends
    /// the release of [`Ejector::take_release`].
    pub fn on_trial(&mut self, now: Millis, served: bool) -> bool {
        let Phase::Unhealthy {
            step,
            passed,
            trials_from,
        } = self.phase
        else {
            return false;
        };
        // Requests from before the backoff, and further requests of a failed step, add no
        // information.
        if now < trials_from {
            return false;
        }
        if !served {
            self.flap_count += 1;
            self.last_flap = now;
            self.restart_trials(now);
            return false;
        }
        let needed = self.options.trial_steps.get(step).copied().unwrap_or(1);
        if passed + 1 < needed {
            self.phase = Phase::Unhealthy {
                step,
                passed: passed + 1,
                trials_from: now,
            };
            return false;
        }
        if step + 1 < self.options.trial_steps.len() {
            self.phase = Phase::Unhealthy {
                step: step + 1,
                passed: 0,
                trials_from: now,
            };
            return false;
        }
        self.phase = Phase::Serving;
        self.last_flap = now;
        true
    }

    /// `take_release` gives up the lease and returns the release to send to every keeper, if there
    /// is one.
    pub fn take_release(&mut self) -> Option<ReleaseRequest> {
        self.holder.release_lease()
    }

    /// `poll_lease` returns the lease request to send to every keeper now, if one is due.
    pub fn poll_lease(&mut self, now: Millis) -> Option<LeaseRequest> {
        self.holder.poll(now)
    }

    /// `on_lease_reply` processes a keeper's reply; returns a release to send to every keeper, if
    /// there is one.
    pub fn on_lease_reply(&mut self, now: Millis, reply: &LeaseReply) -> Option<ReleaseRequest> {
        self.holder.on_reply(now, reply)
    }

    /// `reset` returns an endpoint to service that announced a new incarnation; the flap count is
    /// kept. Returns the release to send to every keeper, if there is one.
    pub fn reset(&mut self) -> Option<ReleaseRequest> {
        self.phase = Phase::Serving;
        self.holder.release_lease()
    }

    /// `state` returns the serving state at `now`: `Ready`, `Demoted` or `Ejected`.
    pub fn state(&self, now: Millis) -> ServingState {
        match self.phase {
            Phase::Serving => ServingState::Ready,
            Phase::Suspect => ServingState::Demoted,
            Phase::Unhealthy { .. } if self.holder.state(now) == HolderState::Holding => {
                ServingState::Ejected
            }
            Phase::Unhealthy { .. } => ServingState::Demoted,
        }
    }

    /// `trial_slots` returns how many trials may run concurrently at `now`.
    pub fn trial_slots(&self, now: Millis) -> u16 {
        match self.phase {
            Phase::Unhealthy {
                step, trials_from, ..
            } if now >= trials_from => self.options.trial_steps.get(step).copied().unwrap_or(1),
            _ => 0,
        }
    }

    fn restart_trials(&mut self, now: Millis) {
        let trials_from = now + self.backoff();
        self.phase = Phase::Unhealthy {
            step: 0,
            passed: 0,
            trials_from,
        };
    }

    fn backoff(&self) -> Duration {
        let doublings = self.flap_count.saturating_sub(1).min(16);
        let wait = self.options.initial_wait.saturating_mul(1 << doublings);
        wait.min(self.options.max_wait)
    }

    fn decay_flaps(&mut self, now: Millis) {
        let healthy = now.saturating_since(self.last_flap).as_millis();
        let forgotten = healthy / self.options.flap_decay_interval.as_millis().max(1);
        self.flap_count = self
            .flap_count
            .saturating_sub(u32::try_from(forgotten).unwrap_or(u32::MAX));
    }
}
