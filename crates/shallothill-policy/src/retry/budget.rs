//! The retry budget of a service at one entry node.

use std::sync::atomic::{AtomicU64, Ordering};

// The price of one retry, in hundredths. A first attempt deposits the budget's percentage.
const RETRY_PRICE: u64 = 100;
// The most that is saved, ten retries: enough to move a node's requests off one failed endpoint,
// and too few to matter during an overload.
const MAX_SAVED: u64 = 10 * RETRY_PRICE;

/// `RetryBudget` limits retries and hedges to a ratio of first attempts, plus some saved ones.
#[derive(Debug)]
pub struct RetryBudget {
    hundredths: AtomicU64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            hundredths: AtomicU64::new(MAX_SAVED),
        }
    }
}

impl RetryBudget {
    /// `deposit` adds `percent` of a retry for a first attempt.
    pub fn deposit(&self, percent: u8) {
        let add = |n: u64| (n < MAX_SAVED).then(|| MAX_SAVED.min(n + u64::from(percent)));
        let _ = self
            .hundredths
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// `withdraw` takes one retry and returns whether one was available.
    pub fn withdraw(&self) -> bool {
        let take = |n: u64| n.checked_sub(RETRY_PRICE);
        self.hundredths
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }

    /// `retries_left` returns the number of whole retries that are available.
    pub fn retries_left(&self) -> u64 {
        self.hundredths.load(Ordering::Relaxed) / RETRY_PRICE
    }
}
