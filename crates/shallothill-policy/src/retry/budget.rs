//! The retry budget of a service.

use std::sync::atomic::{AtomicU64, Ordering};

// One retry in hundredths; a first attempt deposits the percentage of the budget.
const RETRY: u64 = 100;
// Saved retries: enough to move a node's requests off one failed endpoint, and too few to matter
// during an overload.
const MOST: u64 = 10 * RETRY;

/// `Budget` bounds retries and hedges to a ratio of first attempts, plus some saved ones.
#[derive(Debug)]
pub struct RetryBudget {
    hundredths: AtomicU64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            hundredths: AtomicU64::new(MOST),
        }
    }
}

impl RetryBudget {
    /// `deposit` counts a first attempt.
    pub fn deposit(&self, percent: u8) {
        let add = |n: u64| (n < MOST).then(|| MOST.min(n + u64::from(percent)));
        let _ = self
            .hundredths
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// `withdraw` takes one retry and returns whether there was one.
    pub fn withdraw(&self) -> bool {
        let take = |n: u64| n.checked_sub(RETRY);
        self.hundredths
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }

    /// `left` returns the whole retries that are left.
    pub fn retries_left(&self) -> u64 {
        self.hundredths.load(Ordering::Relaxed) / RETRY
    }
}
