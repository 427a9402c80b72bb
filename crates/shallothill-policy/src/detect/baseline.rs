//! The baseline that a server's requests are compared with.

use std::time::Duration;

use shallothill_core::time::Millis;
use shallothill_directory::ServiceSummary;

use crate::detect::options::DetectOptions;

// The median is at least this part of the expected latency. Below a quarter of it, normal variation
// would count as slowness.
const MIN_MEDIAN_DIVISOR: u32 = 4;
// Share of errors to assume for a healthy server without a fresh summary, and the lower bound with
// one.
const MIN_ERROR_SHARE: f64 = 0.01;
const MAX_ERROR_SHARE: f64 = 0.45;
// Fewer completions don't give a usable median.
const MIN_COMPLETED: u64 = 10;

// Half-life of the age of the oldest requests once summaries no longer show it; equals the usual
// time between reports.
const AGE_HALF_LIFE: Duration = Duration::from_secs(2);

/// `Baseline` holds what is normal for a service: the keeper's summary while it is fresh, otherwise
/// the expected latency of the configuration.
#[derive(Clone, Debug)]
pub(crate) struct Baseline {
    expected_latency: Duration,
    slow_factor: f64,
    min_slow_threshold: Duration,
    max_age: Duration,
    updated_at: Option<Millis>,
    oldest_age: Duration,
    slow_threshold: Duration,
    error_share: f64,
}

impl Baseline {
    pub(crate) fn new(options: &DetectOptions) -> Self {
        Self {
            expected_latency: options.expected_latency,
            slow_factor: options.slow_factor,
            min_slow_threshold: options.min_slow_threshold,
            max_age: options.summary_max_age,
            updated_at: None,
            oldest_age: Duration::ZERO,
            slow_threshold: Duration::ZERO,
            error_share: MIN_ERROR_SHARE,
        }
    }

    pub(crate) fn updated_at(&self) -> Option<Millis> {
        self.updated_at
    }

    pub(crate) fn slow_threshold(&self, now: Millis) -> Duration {
        let threshold = if self.is_fresh(now) {
            self.slow_threshold
        } else {
            self.expected_latency.mul_f64(self.slow_factor)
        };
        threshold.max(self.min_slow_threshold)
    }

    pub(crate) fn error_share(&self, now: Millis) -> f64 {
        if self.is_fresh(now) {
            self.error_share
        } else {
            MIN_ERROR_SHARE
        }
    }

    pub(crate) fn update(&mut self, now: Millis, summary: &ServiceSummary) {
        let measurable = summary.completed >= MIN_COMPLETED;
        let median = if measurable {
            Duration::from_micros(summary.p50_us).max(self.expected_latency / MIN_MEDIAN_DIVISOR)
        } else {
            self.expected_latency
        };
        // While requests hang at most servers, the responses that would raise the median are
        // missing; the age of the oldest requests shows the common slowdown instead.
        //
        // Each report shows a single moment, so the age decays over several reports.
        let since = self
            .updated_at
            .map_or(AGE_HALF_LIFE, |at| now.saturating_since(at));
        let decayed = self
            .oldest_age
            .mul_f64(0.5f64.powf(since.as_secs_f64() / AGE_HALF_LIFE.as_secs_f64()));
        self.oldest_age = Duration::from_micros(summary.oldest_us).max(decayed);
        self.slow_threshold = median.mul_f64(self.slow_factor).max(self.oldest_age * 2);
        let ended = summary.completed + summary.errors;
        let share = summary.errors as f64 / ended.max(1) as f64;
        self.error_share = (share * 1.5).clamp(MIN_ERROR_SHARE, MAX_ERROR_SHARE);
        self.updated_at = Some(now);
    }

    fn is_fresh(&self, now: Millis) -> bool {
        self.updated_at
            .is_some_and(|at| now.saturating_since(at) <= self.max_age)
    }
}
