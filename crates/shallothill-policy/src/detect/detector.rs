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
use crate::detect::verdict::{Reason, Verdict};
use crate::detect::window::Window;

// A healthy server exceeds several medians in about 2% of its requests; a sick one in half.
const SLOW_USUAL: f64 = 0.02;
const SLOW_SICK: f64 = 0.5;
// Partial errors start to matter to callers at about a quarter.
const ERRORS_SICK: f64 = 0.25;
// A request counts again each time its age doubles; after this often it says nothing new.
const MOST_DOUBLINGS: u32 = 5;

#[derive(Clone, Copy, Debug)]
struct Running {
    ticket: Ticket,
    started: Millis,
    counted: u32,
}

/// `Detector` weighs the evidence of real requests to one backend server; probes do not count.
///
/// A request counts as bad when it takes, or has been running for, several times the service's
/// median, or when it fails. Time in the gate's queue does not count.
#[derive(Clone, Debug)]
pub struct Detector {
    options: DetectOptions,
    running: Vec<Running>,
    reference: Reference,
    slow: Score,
    errors: Score,
    suspect_since: Option<Millis>,
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
            suspect_since: None,
            window: Window::default(),
        }
    }

    /// `set_options` takes over a changed configuration.
    pub fn set_options(&mut self, options: DetectOptions) {
        self.reference = Reference::new(&options);
        self.options = options;
    }

    /// `started` notes that a request was written to the backend server.
    pub fn started(&mut self, now: Millis, ticket: Ticket) {
        self.running.push(Running {
            ticket,
            started: now,
            counted: 0,
        });
    }

    /// `finished` takes the evidence of a request that was started; an unknown ticket is ignored.
    pub fn finished(&mut self, now: Millis, ticket: Ticket, evidence: Evidence) {
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
                    let slow = latency > self.reference.slow_after(now);
                    self.slow.count(slow, SLOW_USUAL, SLOW_SICK);
                }
                let usual = self.reference.error_share(now);
                self.errors
                    .count(false, usual, ERRORS_SICK.max(usual * 2.0));
            }
            Evidence::Failed | Evidence::Reset => {
                self.window.failed();
                let usual = self.reference.error_share(now);
                self.errors.count(true, usual, ERRORS_SICK.max(usual * 2.0));
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
    pub fn summarise(&mut self, now: Millis, summary: &ServiceSummary) {
        let change = self.reference.update(now, summary);
        if change.slower {
            self.slow = Score::default();
        }
        if change.failing {
            self.errors = Score::default();
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
        if score.sum() < self.options.threshold {
            self.suspect_since = None;
            return Verdict::Healthy;
        }
        let reason = self.reason();
        let since = *self.suspect_since.get_or_insert(now);
        // Only a summary from after the fault began can tell that the service as a whole is well.
        let confirmed = self
            .reference
            .updated()
            .is_some_and(|at| at >= since + self.options.confirm_after);
        if confirmed && score.bad() >= self.options.requests {
            Verdict::Sick(reason)
        } else {
            Verdict::Suspect(reason)
        }
    }

    /// `wants_summary` tells whether a suspicion has stood long enough and only a summary is missing.
    pub fn wants_summary(&self, now: Millis) -> bool {
        self.suspect_since.is_some_and(|since| {
            let confirm = since + self.options.confirm_after;
            now >= confirm && self.reference.updated().is_none_or(|at| at < confirm)
        })
    }

    /// `is_good` tells whether the evidence of a trial speaks for the server, or `None` when it
    /// says nothing.
    pub fn is_good(&self, now: Millis, evidence: Evidence) -> Option<bool> {
        match evidence {
            Evidence::Served(latency) => Some(latency <= self.reference.slow_after(now)),
            Evidence::Failed | Evidence::Reset => Some(false),
            Evidence::Abandoned | Evidence::Shed => None,
        }
    }

    /// `slow_after` returns the age from which a request counts against its server.
    pub fn slow_after(&self, now: Millis) -> Duration {
        self.reference.slow_after(now)
    }

    /// `load` returns the load since the last call, for the keepers' summaries.
    pub fn load(&mut self, now: Millis, id: &EndpointId, queued: u16) -> EndpointLoad {
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
        self.suspect_since = None;
        // Requests of before must not count again.
        for running in &mut self.running {
            running.counted = MOST_DOUBLINGS;
        }
    }

    fn count_old(&mut self, now: Millis) {
        let slow_after = self.reference.slow_after(now);
        for running in &mut self.running {
            let age = now.saturating_since(running.started);
            while running.counted < MOST_DOUBLINGS && age > slow_after * (1 << running.counted) {
                if running.counted == 0 {
                    self.slow.count(true, SLOW_USUAL, SLOW_SICK);
                } else {
                    self.slow.count_again(SLOW_USUAL, SLOW_SICK);
                }
                running.counted += 1;
            }
        }
    }

    fn reason(&self) -> Reason {
        if self.errors.sum() >= self.slow.sum() {
            Reason::Errors
        } else if self.running.iter().any(|r| r.counted > 1) {
            Reason::Stalled
        } else {
            Reason::Slow
        }
    }
}
