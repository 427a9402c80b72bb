//! The health of one endpoint at its gate: evidence, ejection and trials together.

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

/// `EndpointHealth` feeds a detector's verdicts to an ejector and its trials back.
///
/// Every request that is written to a sick endpoint is a trial, whether the endpoint is ejected
/// or only demoted.
#[derive(Clone, Debug)]
pub struct EndpointHealth {
    detector: Detector,
    ejector: Ejector,
    trials: Vec<(Ticket, Millis)>,
    verdict: Verdict,
}

impl EndpointHealth {
    /// `new` joins the two parts, both without history.
    pub fn new(detector: Detector, ejector: Ejector) -> Self {
        Self {
            detector,
            ejector,
            trials: Vec::new(),
            verdict: Verdict::Healthy,
        }
    }

    /// `detector` gives access to the detector, to change its options.
    pub fn detector_mut(&mut self) -> &mut Detector {
        &mut self.detector
    }

    /// `verdict` returns the verdict of the last [`EndpointHealth::tick`].
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// `started` notes that a request was written to the backend server; see [`Detector::started`].
    pub fn record_start(&mut self, now: Millis, ticket: Ticket, objective: Duration) {
        if self.ejector.is_unhealthy() {
            self.trials.push((ticket, now));
        }
        self.detector.record_start(now, ticket, objective);
    }

    /// `finished` takes the evidence of a request that was started. A release that it returns is
    /// to be sent to every keeper of the region.
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

    /// `tick` weighs the evidence; call it about every 50 ms. A release that it returns is to be
    /// sent to every keeper of the region.
    pub fn tick(&mut self, now: Millis) -> Option<ReleaseRequest> {
        self.verdict = self.detector.verdict(now);
        if !self.ejector.is_unhealthy() {
            self.ejector.on_verdict(now, self.verdict);
            if self.ejector.is_unhealthy() {
                // Trials start from new evidence.
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

    /// `wants_summary` tells whether a fresh summary would decide on a suspicion; the node then
    /// reports to its keeper before the usual time.
    pub fn needs_summary(&self, now: Millis) -> bool {
        !self.ejector.is_unhealthy() && self.detector.needs_summary(now)
    }

    /// `summarise` takes what is usual for the service.
    pub fn on_summary(&mut self, now: Millis, summary: &ServiceSummary) {
        self.detector.on_summary(now, summary);
    }

    /// `load` returns the load since the last call, for the keepers' summaries.
    pub fn take_load(&mut self, now: Millis, id: &EndpointId, queued: u16) -> EndpointLoad {
        self.detector.take_load(now, id, queued)
    }

    /// `poll` returns the lease request to send to every keeper of the region now, if any.
    pub fn poll_lease(&mut self, now: Millis) -> Option<LeaseRequest> {
        self.ejector.poll_lease(now)
    }

    /// `on_reply` takes a keeper's reply; returns a release to send to every keeper, if any.
    pub fn on_lease_reply(&mut self, now: Millis, reply: &LeaseReply) -> Option<ReleaseRequest> {
        self.ejector.on_lease_reply(now, reply)
    }

    /// `announced_anew` starts over for a new life of the backend server.
    pub fn on_restart(&mut self) -> Option<ReleaseRequest> {
        self.detector.clear();
        self.trials.clear();
        self.ejector.reset()
    }

    /// `state` returns the serving state at `now`: `Ready`, `Demoted` or `Ejected`.
    pub fn state(&self, now: Millis) -> ServingState {
        self.ejector.state(now)
    }

    /// `is_sick` tells whether the endpoint is ejected, or would be if a lease were held.
    pub fn is_unhealthy(&self) -> bool {
        self.ejector.is_unhealthy()
    }

    /// `is_demoted` tells whether the endpoint is sick and no lease allows its ejection.
    pub fn is_demoted(&self, now: Millis) -> bool {
        self.is_unhealthy() && self.state(now) == ServingState::Demoted
    }

    /// `wants_trial` tells whether another request is needed to show whether a sick endpoint is well.
    pub fn needs_trial(&self, now: Millis) -> bool {
        self.trials.len() < usize::from(self.trial_slots(now))
    }

    /// `trial_slots` returns how many trials may run at a time at `now`.
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
