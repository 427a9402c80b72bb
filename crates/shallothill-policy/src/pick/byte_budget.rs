//! The limit on bytes that one node sends to other regions for a service.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use shallothill_core::time::Millis;

/// `ByteBudget` counts bytes sent to other regions and limits their rate, with a burst of one
/// second.
#[derive(Debug, Default)]
pub struct ByteBudget {
    total: AtomicU64,
    // When the leaky bucket of sent bytes is empty again, in microseconds.
    bucket_empty_at_us: AtomicU64,
}

impl ByteBudget {
    /// `charge` counts `bytes` that were sent at `now` under the limit of `bytes_per_s`.
    pub fn charge(&self, now: Millis, bytes: u64, bytes_per_s: Option<u64>) {
        self.total.fetch_add(bytes, Ordering::Relaxed);
        let Some(rate) = bytes_per_s else { return };
        let cost = bytes.saturating_mul(1_000_000) / rate.max(1);
        let now_us = now.0.saturating_mul(1000);
        let charged = |at: u64| Some(at.max(now_us).saturating_add(cost));
        let _ = self
            .bucket_empty_at_us
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, charged);
    }

    /// `allows` returns whether another request may be sent to another region at `now`.
    pub fn allows(&self, now: Millis, bytes_per_s: Option<u64>) -> bool {
        let burst = now + Duration::from_secs(1);
        bytes_per_s.is_none()
            || self.bucket_empty_at_us.load(Ordering::Relaxed) < burst.0.saturating_mul(1000)
    }

    /// `total` returns the bytes counted since the start.
    pub fn total(&self) -> u64 {
        self.total.load(Ordering::Relaxed)
    }
}
