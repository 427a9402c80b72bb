//! Failure detection for one backend server, updated with each request.

use std::time::Duration;

use shallothill_core::ids::EndpointId;
use shallothill_core::time::Millis;
use shallothill_directory::{EndpointLoad, ServiceSummary};

use crate::admit::Ticket;
use crate::detect::baseline::Baseline;
use crate::detect::cusum::Cusum;
use crate::detect::evidence::Evidence;
use crate::detect::options::DetectOptions;
use crate::detect::suspicion::Suspicion;
use crate::detect::verdict::{FailureMode, Verdict};
use crate::detect::window::ReportWindow;

// Shares of slow requests that are expected of a healthy and of an unhealthy server: a healthy one
// exceeds several times the median in about 2% of its requests, an unhealthy one in half of them.
const SLOW_SHARE_HEALTHY: f64 = 0.02;
const SLOW_SHARE_UNHEALTHY: f64 = 0.5;
// The share of errors that is expected of an unhealthy server. Callers notice partial errors from
// about a quarter.
const ERROR_SHARE_UNHEALTHY: f64 = 0.25;
// A running request counts again each time its age doubles. Beyond this many doublings it adds no
// information.
const MAX_AGE_DOUBLINGS: u32 = 5;
// Value of `times_counted` for requests from before the evidence was cleared.
const EXCLUDED: u32 = u32::MAX;

#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    ticket: Ticket,
    started: Millis,
    objective: Duration,
    times_counted: u32,
}

/// `Detector` judges one backend server by the requests that it serves; health probes don't count.
///
/// A request counts as bad if it fails, or if it takes (or has been running for) several times the
/// service's median latency and longer than the objective of its route. Time in the gate's queue
/// does not count.
#[derive(Clone, Debug)]
pub struct Detector {
    options: DetectOptions,
    running: Vec<RunningRequest>,
    baseline: Baseline,
    slow_score: Cusum,
    error_score: Cusum,
    suspicion: Suspicion,
    window: ReportWindow,
}

impl Detector {
    /// `new` creates a detector without evidence.
    pub fn new(options: DetectOptions) -> Self {
        Self {
            baseline: Baseline::new(&options),
            options,
            running: Vec::new(),
            slow_score: Cusum::default(),
            error_score: Cusum::default(),
            suspicion: Suspicion::default(),
            window: ReportWindow::default(),
        }
    }

    /// `set_options` applies a changed configuration. The evidence is kept; the last summary is
    /// discarded.
    pub fn set_options(&mut self, options: DetectOptions) {
        self.baseline = Baseline::new(&options);
        self.options = options;
    }

    /// `record_start` records that a request was written to the backend server. A response within
    /// `objective` is never slow, however fast other routes are; pass zero if the route has none.
    pub fn record_start(&mut self, now: Millis, ticket: Ticket, objective: Duration) {
        self.running.push(RunningRequest {
            ticket,
            started: now,
            objective,
            times_counted: 0,
        });
    }

    /// `record_end` evaluates how a started request ended; an unknown ticket is ignored.
    pub fn record_end(&mut self, now: Millis, ticket: Ticket, evidence: Evidence) {
        self.count_overdue(now);
        let Some(i) = self.running.iter().position(|r| r.ticket == ticket) else {
            return;
        };
        let running = self.running.swap_remove(i);
        match evidence {
            Evidence::Served(latency) => {
                self.window.record_served(latency);
                // A request that was already counted as overdue is not counted again.
                if running.times_counted == 0 {
                    let slow_threshold = self.baseline.slow_threshold(now);
                    let slow = latency > slow_threshold.max(running.objective);
                    let baseline_s = slow_threshold.as_secs_f64();
                    self.slow_score.count(
                        slow,
                        SLOW_SHARE_HEALTHY,
                        SLOW_SHARE_UNHEALTHY,
                        baseline_s,
                    );
                    if slow {
                        self.suspicion.record_bad(now);
                    }
                }
                self.count_error(now, false);
            }
            Evidence::Failed | Evidence::Reset => {
                self.window.record_failed();
                self.suspicion.record_bad(now);
                self.count_error(now, true);
            }
            Evidence::Abandoned => {
                self.window
                    .record_abandoned(now.saturating_since(running.started));
            }
            Evidence::Shed => {}
        }
    }

    /// `on_summary` updates the baseline with a summary of the service that a keeper returned at
    /// `now`.
    ///
    /// Evidence that was collected against a baseline that the summary disproves is discarded.
    pub fn on_summary(&mut self, now: Millis, summary: &ServiceSummary) {
        self.baseline.update(now, summary);
        let slow_threshold = self.baseline.slow_threshold(now).as_secs_f64();
        let was_slow = self.slow_score.reset_if_baseline_rose(slow_threshold, 1.5);
        let was_failing = self
            .error_score
            .reset_if_baseline_rose(self.baseline.error_share(now), 2.0);
        if was_slow || was_failing {
            // Later evidence has to be confirmed by a summary of its own.
            self.suspicion = Suspicion::default();
        }
    }

    /// `verdict` evaluates the evidence at `now`; call it after events and about every 50 ms.
    pub fn verdict(&mut self, now: Millis) -> Verdict {
        self.count_overdue(now);
        let score = if self.slow_score.sum() > self.error_score.sum() {
            self.slow_score
        } else {
            self.error_score
        };
        if score.sum() < self.options.score_threshold {
            self.suspicion.expire(now);
            return Verdict::Healthy;
        }
        let slow_threshold = self.baseline.slow_threshold(now);
        if !self
            .suspicion
            .is_current(now, slow_threshold, self.has_hanging_request())
        {
            // A suspect server is picked last, so few requests can clear it. Without recent bad
            // requests the suspicion is lifted; requests return and show whether the fault has
            // passed.
            self.suspicion.lift(now, slow_threshold);
            self.slow_score = Cusum::default();
            self.error_score = Cusum::default();
            return Verdict::Healthy;
        }
        let mode = self.failure_mode();
        // Only a summary from after the start of the fault can show that the service as a whole is
        // healthy.
        let confirm_at = self.suspicion.start_or_resume(now) + self.options.confirm_after;
        let compared = self
            .baseline
            .updated_at()
            .is_some_and(|at| at >= confirm_at);
        if now >= confirm_at && compared && score.bad_requests() >= self.options.min_bad_requests {
            Verdict::Unhealthy(mode)
        } else {
            Verdict::Suspect(mode)
        }
    }

    /// `needs_summary` returns whether a suspicion has lasted long enough and only a recent summary
    /// is missing to confirm it.
    pub fn needs_summary(&self, now: Millis) -> bool {
        self.suspicion.active_since().is_some_and(|since| {
            let confirm_at = since + self.options.confirm_after;
            now >= confirm_at && self.baseline.updated_at().is_none_or(|at| at < confirm_at)
        })
    }

    /// `trial_passed` returns whether a trial succeeded, or `None` if its end says nothing about
    /// the server.
    pub fn trial_passed(&self, now: Millis, ticket: Ticket, evidence: Evidence) -> Option<bool> {
        match evidence {
            Evidence::Served(latency) => Some(latency <= self.slow_threshold(now, ticket)),
            Evidence::Failed | Evidence::Reset => Some(false),
            Evidence::Abandoned | Evidence::Shed => None,
        }
    }

    /// `slow_threshold` returns the age from which the request of `ticket` counts as slow.
    pub fn slow_threshold(&self, now: Millis, ticket: Ticket) -> Duration {
        let running = self.running.iter().find(|r| r.ticket == ticket);
        let objective = running.map_or(Duration::ZERO, |r| r.objective);
        self.baseline.slow_threshold(now).max(objective)
    }

    /// `take_load` returns the load since the previous call, for the keepers' summaries, and starts
    /// a new reporting window.
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

    /// `clear` discards the evidence: when trials start, when they have succeeded, or when a new
    /// incarnation of the backend server was announced.
    pub fn clear(&mut self) {
        self.slow_score = Cusum::default();
        self.error_score = Cusum::default();
        self.suspicion = Suspicion::default();
        // Requests from before must not count again.
        for running in &mut self.running {
            running.times_counted = EXCLUDED;
        }
    }

    fn count_error(&mut self, now: Millis, bad: bool) {
        let healthy_share = self.baseline.error_share(now);
        let unhealthy_share = ERROR_SHARE_UNHEALTHY.max(healthy_share * 2.0);
        self.error_score
            .count(bad, healthy_share, unhealthy_share, healthy_share);
    }

    fn count_overdue(&mut self, now: Millis) {
        let slow_threshold = self.baseline.slow_threshold(now);
        let baseline_s = slow_threshold.as_secs_f64();
        for running in &mut self.running {
            let age = now.saturating_since(running.started);
            let own_threshold = slow_threshold.max(running.objective);
            while running.times_counted < MAX_AGE_DOUBLINGS
                && age > own_threshold * (1 << running.times_counted)
            {
                if running.times_counted == 0 {
                    self.slow_score.count(
                        true,
                        SLOW_SHARE_HEALTHY,
                        SLOW_SHARE_UNHEALTHY,
                        baseline_s,
                    );
                } else {
                    self.slow_score.count_again(
                        SLOW_SHARE_HEALTHY,
                        SLOW_SHARE_UNHEALTHY,
                        baseline_s,
                    );
                }
                running.times_counted += 1;
                self.suspicion.record_bad(now);
            }
        }
    }

    fn has_hanging_request(&self) -> bool {
        let old = |r: &RunningRequest| r.times_counted >= 1 && r.times_counted != EXCLUDED;
        self.running.iter().any(old)
    }

    fn failure_mode(&self) -> FailureMode {
        if self.error_score.sum() >= self.slow_score.sum() {
            FailureMode::Errors
        } else if self
            .running
            .iter()
            .any(|r| r.times_counted > 1 && r.times_counted != EXCLUDED)
        {
            FailureMode::Stalled
        } else {
            FailureMode::Slow
        }
    }
}
