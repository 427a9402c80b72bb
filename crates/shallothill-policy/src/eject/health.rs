//! The health of one endpoint at its gate: failure detection, ejection and trials combined.

use std::time::Duration;

use shallothill_core::health::ServingState;
use shallothill_core::ids::EndpointId;
use shallothill_core::time::Millis;
use shallothill_directory::{
    EndpointLoad, LeaseReply, LeaseRequest, ReleaseRequest, ServiceSummary,
};

use crate::admit::Ticket;
use crate::detect::{Detector, Evidence, Verdict};
use crate::eject::ejector::Ejector;

/// `EndpointHealth` passes the verdicts of a detector to an ejector, and the results of trials
/// back.
///
/// Every request that is written to an unhealthy endpoint is a trial, whether the endpoint is
/// ejected or only demoted.
#[derive(Clone, Debug)]
pub struct EndpointHealth {
    detector: Detector,
    ejector: Ejector,
    trials: Vec<(Ticket, Millis)>,
    verdict: Verdict,
}

impl EndpointHealth {
    /// `new` combines a detector and an ejector that have no history yet.
    pub fn new(detector: Detector, ejector: Ejector) -> Self {
        Self {
            detector,
            ejector,
            trials: Vec::new(),
            verdict: Verdict::Healthy,
        }
    }

    /// `detector_mut` returns the detector, to change its options.
    pub fn detector_mut(&mut self) -> &mut Detector {
        &mut self.detector
    }

    /// `verdict` returns the verdict of the last [`EndpointHealth::tick`].
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// `record_start` records that a request was written to the backend server; see
    /// [`Detector::record_start`].
    pub fn record_start(&mut self, now: Millis, ticket: Ticket, objective: Duration) {
        if self.ejector.is_unhealthy() {
            self.trials.push((ticket, now));
        }
        self.detector.record_start(now, ticket, objective);
    }

    /// `record_end` evaluates how a started request ended. Send a returned release to every keeper
    /// of the region.
    pub fn record_end(
        &mut self,
        now: Millis,
        ticket: Ticket,
        evidence: Evidence,
    ) -> Option<ReleaseRequest> {
        let good = self.detector.trial_passed(now, ticket, evidence);
        self.detector.record_end(now, ticket, evidence);
        let i = self.trials.iter().position(|(t, _)| *t == ticket)?;
        self.trials.swap_remove(i);
        self.trial_ended(now, good?)
    }

    /// `tick` evaluates the evidence; call it about every 50 ms. Send a returned release to every
    /// keeper of the region.
    pub fn tick(&mut self, now: Millis) -> Option<ReleaseRequest> {
        self.verdict = self.detector.verdict(now);
        if !self.ejector.is_unhealthy() {
            self.ejector.on_verdict(now, self.verdict);
            if self.ejector.is_unhealthy() {
                // Trials are judged on new evidence only.
                self.detector.clear();
            }
            return None;
        }
        let detector = &self.detector;
        let hangs = |(ticket, at): &(Ticket, Millis)| {
            now.saturating_since(*at) > detector.slow_threshold(now, *ticket)
        };
        let before = self.trials.len();
        self.trials.retain(|t| !hangs(t));
        if self.trials.len() < before {
            return self.trial_ended(now, false);
        }
        None
    }

    /// `needs_summary` returns whether a fresh summary would confirm or refute a suspicion; the
    /// node then reports to its keeper ahead of schedule.
    pub fn needs_summary(&self, now: Millis) -> bool {
        !self.ejector.is_unhealthy() && self.detector.needs_summary(now)
    }

    /// `on_summary` processes a keeper's summary of the service; see [`Detector::on_summary`].
    pub fn on_summary(&mut self, now: Millis, summary: &ServiceSummary) {
        self.detector.on_summary(now, summary);
    }

    /// `take_load` returns the load since the previous call, for the keepers' summaries.
    pub fn take_load(&mut self, now: Millis, id: &EndpointId, queued: u16) -> EndpointLoad {
        self.detector.take_load(now, id, queued)
    }

    /// `poll_lease` returns the lease request to send to every keeper of the region now, if one is
    /// due.
    pub fn poll_lease(&mut self, now: Millis) -> Option<LeaseRequest> {
        self.ejector.poll_lease(now)
    }

    /// `on_lease_reply` processes a keeper's reply; returns a release to send to every keeper, if
    /// there is one.
    pub fn on_lease_reply(&mut self, now: Millis, reply: &LeaseReply) -> Option<ReleaseRequest> {
        self.ejector.on_lease_reply(now, reply)
    }

    /// `on_restart` resets the state for a new incarnation of the backend server, except for the
    /// flap count. Returns the release to send to every keeper, if there is one.
    pub fn on_restart(&mut self) -> Option<ReleaseRequest> {
        self.detector.clear();
        self.trials.clear();
        self.ejector.reset()
    }

    /// `state` returns the serving state at `now`: `Ready`, `Demoted` or `Ejected`.
    pub fn state(&self, now: Millis) -> ServingState {
        self.ejector.state(now)
    }

    /// `is_unhealthy` returns whether the endpoint is ejected, or would be if a lease were held.
    pub fn is_unhealthy(&self) -> bool {
        self.ejector.is_unhealthy()
    }

    /// `is_demoted` returns whether the endpoint is unhealthy and no lease permits its ejection.
    pub fn is_demoted(&self, now: Millis) -> bool {
        self.is_unhealthy() && self.state(now) == ServingState::Demoted
    }

    /// `needs_trial` returns whether another request is needed to show whether an unhealthy
    /// endpoint has recovered.
    pub fn needs_trial(&self, now: Millis) -> bool {
        self.trials.len() < usize::from(self.trial_slots(now))
    }

    /// `trial_slots` returns how many trials may run concurrently at `now`.
    pub fn trial_slots(&self, now: Millis) -> u16 {
        self.ejector.trial_slots(now)
    }

    fn trial_ended(&mut self, now: Millis, served: bool) -> Option<ReleaseRequest> {
        if !self.ejector.on_trial(now, served) {
            return None;
        }
        self.detector.clear();
        self.trials.clear();
        self.ejector.take_release()
    }
}
