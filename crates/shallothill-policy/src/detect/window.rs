//! Completions since the last load report.

use std::time::Duration;

// Latencies kept for the median. A report covers two seconds; a sample of this size places the
// median within a few percent.
const SAMPLE_SIZE: usize = 128;

/// `ReportWindow` counts completions and keeps a bounded sample of latencies.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportWindow {
    completed: u32,
    errors: u32,
    latencies_us: Vec<u64>,
    oldest_abandoned: Duration,
}

impl ReportWindow {
    pub(crate) fn record_served(&mut self, latency: Duration) {
        let us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        if self.latencies_us.len() < SAMPLE_SIZE {
            self.latencies_us.push(us);
        } else {
            // The latest latencies replace the oldest ones.
            self.latencies_us[self.completed as usize % SAMPLE_SIZE] = us;
        }
        self.completed = self.completed.saturating_add(1);
    }

    pub(crate) fn record_failed(&mut self) {
        self.errors = self.errors.saturating_add(1);
    }

    pub(crate) fn record_abandoned(&mut self, age: Duration) {
        self.oldest_abandoned = self.oldest_abandoned.max(age);
    }

    /// Returns the maximum age of an unanswered request: those abandoned in this window, or
    /// `running`, the age of the oldest running one. Deadlines end hanging requests, so the running
    /// ones alone can look young.
    pub(crate) fn oldest_us(&self, running: Option<Duration>) -> u64 {
        let oldest = running.unwrap_or_default().max(self.oldest_abandoned);
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
