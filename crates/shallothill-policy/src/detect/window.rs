//! Completions since the last report.

use std::time::Duration;

// Latencies kept for the median; a report covers two seconds, and a sample of this size places
// the median within a few percent.
const SAMPLES: usize = 128;

/// `Window` counts completions and keeps a bounded sample of latencies.
#[derive(Clone, Debug, Default)]
pub(crate) struct Window {
    completed: u32,
    errors: u32,
    latencies_us: Vec<u64>,
    abandoned: Duration,
}

impl Window {
    pub(crate) fn served(&mut self, latency: Duration) {
        let us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        if self.latencies_us.len() < SAMPLES {
            self.latencies_us.push(us);
        } else {
            // The latest latencies replace the oldest ones.
            self.latencies_us[self.completed as usize % SAMPLES] = us;
        }
        self.completed = self.completed.saturating_add(1);
    }

    pub(crate) fn failed(&mut self) {
        self.errors = self.errors.saturating_add(1);
    }

    pub(crate) fn abandoned(&mut self, age: Duration) {
        self.abandoned = self.abandoned.max(age);
    }

    /// Returns the greatest age of a request without an answer: of those that were given up in
    /// the window, or the `running` one. Deadlines end hanging requests, so that the running
    /// ones alone look young from time to time.
    pub(crate) fn oldest_us(&self, running: Option<Duration>) -> u64 {
        let oldest = running.unwrap_or_default().max(self.abandoned);
        u64::try_from(oldest.as_micros()).unwrap_or(u64::MAX)
    }

    pub(crate) fn completed(&self) -> u32 {
        self.completed
    }

    pub(crate) fn errors(&self) -> u32 {
        self.errors
    }

    pub(crate) fn p50_us(&self) -> u64 {
        let mut sorted = self.latencies_us.clone();
        sorted.sort_unstable();
        sorted.get(sorted.len() / 2).copied().unwrap_or(0)
    }
}
