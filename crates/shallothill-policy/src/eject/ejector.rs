//! The state of one endpoint between evidence, lease and trials.

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
        next: Millis,
    },
}

/// `Ejector` turns verdicts into a serving state. It ejects only while it holds a lease, demotes
/// otherwise, and returns the endpoint after served trials in growing steps.
#[derive(Clone, Debug)]
pub struct Ejector {
    options: EjectOptions,
    holder: LeaseHolder,
    phase: Phase,
    flaps: u32,
    flap_at: Millis,
}

impl Ejector {
    /// `new` builds the ejector of `endpoint` in `region`, whose leases `keepers` grant.
    ///
    /// `incarnation` is higher than that of any earlier ejector of the same endpoint, also one of
    /// an earlier process. A new life of the backend server keeps its ejector, see
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
            flaps: 0,
            flap_at: Millis(0),
        }
    }

    /// `on_verdict` takes the detector's verdict; when the endpoint becomes sick by it, a lease is
    /// asked for and the wait for trials begins.
    pub fn on_verdict(&mut self, now: Millis, verdict: Verdict) {
        match (self.phase, verdict) {
            (Phase::Serving, Verdict::Suspect(_)) => self.phase = Phase::Suspect,
            (Phase::Suspect, Verdict::Healthy) => self.phase = Phase::Serving,
            (Phase::Serving | Phase::Suspect, Verdict::Unhealthy(_)) => {
                self.forget(now);
                self.flaps += 1;
                self.flap_at = now;
                self.holder.request_lease();
                self.restart_trials(now);
            }
            _ => {}
        }
    }

    /// `is_sick` tells whether the endpoint is ejected, or would be if a lease were held.
    pub fn is_unhealthy(&self) -> bool {
        matches!(self.phase, Phase::Unhealthy { .. })
    }

    /// `on_trial` takes the end of a request that was started while the endpoint was sick. Returns
    /// whether the endpoint is cleared: the owner then calls `Detector::clear` and sends the
    /// release of [`Ejector::take_release`].
    pub fn on_trial(&mut self, now: Millis, served: bool) -> bool {
        let Phase::Unhealthy { step, passed, next } = self.phase else {
            return false;
        };
        // Requests from before the wait, and others of a failed step, say nothing new.
        if now < next {
            return false;
        }
        if !served {
            self.flaps += 1;
            self.flap_at = now;
            self.restart_trials(now);
            return false;
        }
        let needed = self.options.trial_steps.get(step).copied().unwrap_or(1);
        if passed + 1 < needed {
            self.phase = Phase::Unhealthy {
                step,
                passed: passed + 1,
                next: now,
            };
            return false;
        }
        if step + 1 < self.options.trial_steps.len() {
            self.phase = Phase::Unhealthy {
                step: step + 1,
                passed: 0,
                next: now,
            };
            return false;
        }
        self.phase = Phase::Serving;
        self.flap_at = now;
        true
    }

    /// `take_release` ends the lease and returns the release to send to every keeper, if any.
    pub fn take_release(&mut self) -> Option<ReleaseRequest> {
        self.holder.release_lease()
    }

    /// `poll` returns the lease request to send to every keeper now, if any.
    pub fn poll_lease(&mut self, now: Millis) -> Option<LeaseRequest> {
        self.holder.poll(now)
    }

    /// `on_reply` takes a keeper's reply; returns a release to send to every keeper, if any.
    pub fn on_lease_reply(&mut self, now: Millis, reply: &LeaseReply) -> Option<ReleaseRequest> {
        self.holder.on_reply(now, reply)
    }

    /// `reset` starts over for an endpoint that announced a new life; flaps are remembered.
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

    /// `trial_slots` returns how many trials may run at a time at `now`.
    pub fn trial_slots(&self, now: Millis) -> u16 {
        match self.phase {
            Phase::Unhealthy { step, next, .. } if now >= next => {
                self.options.trial_steps.get(step).copied().unwrap_or(1)
            }
            _ => 0,
        }
    }

    fn restart_trials(&mut self, now: Millis) {
        let next = now + self.wait();
        self.phase = Phase::Unhealthy {
            step: 0,
            passed: 0,
            next,
        };
    }

    fn wait(&self) -> Duration {
        let doublings = self.flaps.saturating_sub(1).min(16);
        let wait = self.options.initial_wait.saturating_mul(1 << doublings);
        wait.min(self.options.max_wait)
    }

    fn forget(&mut self, now: Millis) {
        let healthy = now.saturating_since(self.flap_at).as_millis();
        let forgotten = healthy / self.options.flap_decay_interval.as_millis().max(1);
        self.flaps = self
            .flaps
            .saturating_sub(u32::try_from(forgotten).unwrap_or(u32::MAX));
    }
}
