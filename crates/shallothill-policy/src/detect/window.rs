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
