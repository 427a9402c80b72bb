//! Evidence on one backend server, weighed one request at a time.

use std::time::Duration;

use shallothill_core::ids::EndpointId;
use shallothill_core::time::Millis;
use shallothill_directory::{EndpointLoad, ServiceSummary};

use crate::admit::Ticket;
use crate::detect::evidence::Evidence;
use crate::detect::options::DetectOptions;
use crate::detect::reference::Reference;
use crate::detect::score::Score;
use crate::detect::suspicion::Suspicion;
use crate::detect::verdict::{FailureMode, Verdict};
use crate::detect::window::Window;

// A healthy server exceeds several medians in about 2% of its requests; a sick one in half.
const SLOW_USUAL: f64 = 0.02;
const SLOW_SICK: f64 = 0.5;
// Partial errors start to matter to callers at about a quarter.
const ERRORS_SICK: f64 = 0.25;
// A request counts again each time its age doubles; after this often it says nothing new.
const MOST_DOUBLINGS: u32 = 5;
// Marks requests from before the evidence was cleared.
const EXCLUDED: u32 = u32::MAX;

#[derive(Clone, Copy, Debug)]
struct Running {
    ticket: Ticket,
    started: Millis,
    objective: Duration,
    counted: u32,
}

/// `Detector` weighs the evidence of real requests to one backend server; probes do not count.
///
/// A request counts as bad when it takes, or has been running for, several times the service's
/// median and longer than the objective of its route, or when it fails. Time in the gate's queue does
/// not count.
#[derive(Clone, Debug)]
pub struct Detector {
    options: DetectOptions,
    running: Vec<Running>,
    reference: Reference,
    slow: Score,
    errors: Score,
    suspicion: Suspicion,
    window: Window,
}

impl Detector {
    /// `new` builds a detector without evidence.
    pub fn new(options: DetectOptions) -> Self {
        Self {
            reference: Reference::new(&options),
            options,
            running: Vec::new(),
            slow: Score::default(),
            errors: Score::default(),
            suspicion: Suspicion::default(),
            window: Window::default(),
        }
    }

    /// `set_options` takes over a changed configuration.
    pub fn set_options(&mut self, options: DetectOptions) {
        self.reference = Reference::new(&options);
        self.options = options;
    }

    /// `started` notes that a request was written to the backend server. An answer within `objective`
    /// is not slow, however fast those of other routes are; zero if the route has none.
    pub fn record_start(&mut self, now: Millis, ticket: Ticket, objective: Duration) {
        self.running.push(Running {
            ticket,
            started: now,
            objective,
            counted: 0,
        });
    }

    /// `finished` takes the evidence of a request that was started; an unknown ticket is ignored.
    pub fn record_end(&mut self, now: Millis, ticket: Ticket, evidence: Evidence) {
        self.count_old(now);
        let Some(i) = self.running.iter().position(|r| r.ticket == ticket) else {
            return;
        };
        let running = self.running.swap_remove(i);
        match evidence {
            Evidence::Served(latency) => {
                self.window.served(latency);
                // An old request was counted when it became old.
                if running.counted == 0 {
                    let slow_after = self.reference.slow_after(now);
                    let slow = latency > slow_after.max(running.objective);
                    let measure = slow_after.as_secs_f64();
                    self.slow.count(slow, SLOW_USUAL, SLOW_SICK, measure);
                    if slow {
                        self.suspicion.bad(now);
                    }
                }
                self.count_error(now, false);
            }
            Evidence::Failed | Evidence::Reset => {
                self.window.failed();
                self.suspicion.bad(now);
                self.count_error(now, true);
            }
            Evidence::Abandoned => {
                self.window.abandoned(now.saturating_since(running.started));
            }
            Evidence::Shed => {}
        }
    }

    /// `summarise` takes what is usual for the service, as a keeper returned it at `now`.
    ///
    /// Evidence that was weighed against a reference which this summary proves wrong is dropped.
    pub fn on_summary(&mut self, now: Millis, summary: &ServiceSummary) {
        self.reference.update(now, summary);
        let slow_after = self.reference.slow_after(now).as_secs_f64();
        let was_slow = self.slow.correct(slow_after, 1.5);
        let was_failing = self.errors.correct(self.reference.error_share(now), 2.0);
        if was_slow || was_failing {
            // What follows needs a summary of its own.
            self.suspicion = Suspicion::default();
        }
    }

    /// `verdict` weighs the evidence at `now`; call it after events and about every 50 ms.
    pub fn verdict(&mut self, now: Millis) -> Verdict {
        self.count_old(now);
        let score = if self.slow.sum() > self.errors.sum() {
            self.slow
        } else {
            self.errors
        };
        if score.sum() < self.options.score_threshold {
            self.suspicion.rest(now);
            return Verdict::Healthy;
        }
        let slow_after = self.reference.slow_after(now);
        if !self.suspicion.stands(now, slow_after, self.is_hanging()) {
            // A suspect server is picked last, so that few requests can clear it. When nothing bad
            // has happened for a while, requests return and show whether the fault has passed.
            self.suspicion.lift(now, slow_after);
            self.slow = Score::default();
            self.errors = Score::default();
            return Verdict::Healthy;
        }
        let reason = self.reason();
        // Only a summary from after the fault began can tell that the service as a whole is well.
        let confirm = self.suspicion.since(now) + self.options.confirm_after;
        let compared = self.reference.updated().is_some_and(|at| at >= confirm);
        if now >= confirm && compared && score.bad() >= self.options.min_bad_requests {
            Verdict::Unhealthy(reason)
        } else {
            Verdict::Suspect(reason)
        }
    }

    /// `wants_summary` tells whether a suspicion has stood long enough and only a summary is missing.
    pub fn needs_summary(&self, now: Millis) -> bool {
        self.suspicion.began().is_some_and(|since| {
            let confirm = since + self.options.confirm_after;
            now >= confirm && self.reference.updated().is_none_or(|at| at < confirm)
        })
    }

    /// `is_good` tells whether the evidence of a trial speaks for the server, or `None` when it
    /// says nothing.
    pub fn trial_passed(&self, now: Millis, ticket: Ticket, evidence: Evidence) -> Option<bool> {
        match evidence {
            Evidence::Served(latency) => Some(latency <= self.slow_threshold(now, ticket)),
            Evidence::Failed | Evidence::Reset => Some(false),
            Evidence::Abandoned | Evidence::Shed => None,
        }
    }

    /// `slow_after` returns the age from which the request of `ticket` counts against its server.
    pub fn slow_threshold(&self, now: Millis, ticket: Ticket) -> Duration {
        let running = self.running.iter().find(|r| r.ticket == ticket);
        let objective = running.map_or(Duration::ZERO, |r| r.objective);
        self.reference.slow_after(now).max(objective)
    }

    /// `load` returns the load since the last call, for the keepers' summaries.
    pub fn take_load(&mut self, now: Millis, id: &EndpointId, queued: u16) -> EndpointLoad {
        let oldest = self.running.iter().map(|r| r.started).min();
        let window = std::mem::take(&mut self.window);
        EndpointLoad {
            service: id.service.clone(),
            name: id.name.clone(),
            in_flight: u16::try_from(self.running.len()).unwrap_or(u16::MAX),
            queued,
            completed: window.completed(),
            p50_us: window.p50_us(),
            oldest_us: window.oldest_us(oldest.map(|at| now.saturating_since(at))),
            errors: window.errors(),
        }
    }

    /// `clear` forgets the evidence, when trials begin, when they were served, or when a new life
    /// was announced.
    pub fn clear(&mut self) {
        self.slow = Score::default();
        self.errors = Score::default();
        self.suspicion = Suspicion::default();
        // Requests of before must not count again.
        for running in &mut self.running {
            running.counted = EXCLUDED;
        }
    }

    fn count_error(&mut self, now: Millis, bad: bool) {
        let usual = self.reference.error_share(now);
        let sick = ERRORS_SICK.max(usual * 2.0);
        self.errors.count(bad, usual, sick, usual);
    }

    fn count_old(&mut self, now: Millis) {
        let slow_after = self.reference.slow_after(now);
        let measure = slow_after.as_secs_f64();
        for running in &mut self.running {
            let age = now.saturating_since(running.started);
            let own = slow_after.max(running.objective);
            while running.counted < MOST_DOUBLINGS && age > own * (1 << running.counted) {
                if running.counted == 0 {
                    self.slow.count(true, SLOW_USUAL, SLOW_SICK, measure);
                } else {
                    self.slow.count_again(SLOW_USUAL, SLOW_SICK, measure);
                }
                running.counted += 1;
                self.suspicion.bad(now);
            }
        }
    }

    fn is_hanging(&self) -> bool {
        let old = |r: &Running| r.counted >= 1 && r.counted != EXCLUDED;
        self.running.iter().any(old)
    }

    fn reason(&self) -> FailureMode {
        if self.errors.sum() >= self.slow.sum() {
            FailureMode::Errors
        } else if self
            .running
            .iter()
            .any(|r| r.counted > 1 && r.counted != EXCLUDED)
        {
            FailureMode::Stalled
        } else {
            FailureMode::Slow
        }
    }
}
