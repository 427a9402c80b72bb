//! What is usual for a service, as far as a gate knows.

use std::time::Duration;

use shallothill_core::time::Millis;
use shallothill_directory::ServiceSummary;

use crate::detect::options::DetectOptions;

// Below a quarter of the expected latency, usual variation would count as slowness.
const LOWEST_PART: u32 = 4;
// Share of errors assumed at a healthy server while nothing is known.
const FEWEST_ERRORS: f64 = 0.01;
const MOST_ERRORS: f64 = 0.45;
// Fewer completions say nothing about a median.
const ENOUGH_COMPLETED: u64 = 10;

// The usual time between reports, in which a common age that is no longer seen halves.
const FADE: Duration = Duration::from_secs(2);

/// `Reference` is the measure for requests: the service's summary while it is fresh, else the
/// expected latency of the configuration.
#[derive(Clone, Debug)]
pub(crate) struct Reference {
    expected: Duration,
    slow_factor: f64,
    least: Duration,
    fresh_for: Duration,
    updated: Option<Millis>,
    oldest: Duration,
    slow_after: Duration,
    error_share: f64,
}

impl Reference {
    pub(crate) fn new(options: &DetectOptions) -> Self {
        Self {
            expected: options.expected_latency,
            slow_factor: options.slow_factor,
            least: options.min_slow_threshold,
            fresh_for: options.summary_max_age,
            updated: None,
            oldest: Duration::ZERO,
            slow_after: Duration::ZERO,
            error_share: FEWEST_ERRORS,
        }
    }

    pub(crate) fn updated(&self) -> Option<Millis> {
        self.updated
    }

    pub(crate) fn slow_after(&self, now: Millis) -> Duration {
        let usual = if self.is_fresh(now) {
            self.slow_after
        } else {
            self.expected.mul_f64(self.slow_factor)
        };
        usual.max(self.least)
    }

    pub(crate) fn error_share(&self, now: Millis) -> f64 {
        if self.is_fresh(now) {
            self.error_share
        } else {
            FEWEST_ERRORS
        }
    }

    pub(crate) fn update(&mut self, now: Millis, summary: &ServiceSummary) {
        let known = summary.completed >= ENOUGH_COMPLETED;
        let median = if known {
            Duration::from_micros(summary.p50_us).max(self.expected / LOWEST_PART)
        } else {
            self.expected
        };
        // While most servers hold requests of some age, the answers that would move the median
        // are still missing: the age itself shows the common slowdown.
        // It fades over several reports, because each one shows a moment only.
        let since = self.updated.map_or(FADE, |at| now.saturating_since(at));
        let faded = self
            .oldest
            .mul_f64(0.5f64.powf(since.as_secs_f64() / FADE.as_secs_f64()));
        self.oldest = Duration::from_micros(summary.oldest_us).max(faded);
        self.slow_after = median.mul_f64(self.slow_factor).max(self.oldest * 2);
        let ended = summary.completed + summary.errors;
        let share = summary.errors as f64 / ended.max(1) as f64;
        self.error_share = (share * 1.5).clamp(FEWEST_ERRORS, MOST_ERRORS);
        self.updated = Some(now);
    }

    fn is_fresh(&self, now: Millis) -> bool {
        self.updated
            .is_some_and(|at| now.saturating_since(at) <= self.fresh_for)
    }
}
