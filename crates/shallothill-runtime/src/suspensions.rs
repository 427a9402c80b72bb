//! Measures for how long the host was suspended.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use rustix::time::{self, ClockId};

/// `Suspensions` measures the time that the steady clock did not count because the host was
/// suspended. Other hosts act meanwhile, so leases and timeouts have to include it.
///
/// Clones share the measured time, which never decreases.
#[derive(Clone, Debug)]
pub struct Suspensions {
    time_since_boot: fn() -> Duration,
    steady_start: Instant,
    boot_start: Duration,
    total_ms: Arc<AtomicU64>,
}

impl Suspensions {
    /// `start` measures suspensions from now on.
    pub fn start() -> Self {
        Self::start_with(time_since_boot)
    }

    /// `start_with` is [`Self::start`] with another clock, which counts suspensions.
    pub fn start_with(time_since_boot: fn() -> Duration) -> Self {
        // The steady clock is read first here and last in `total`, so that a pause between the two
        // readings does not count as a suspension.
        let steady_start = Instant::now();
        Self {
            time_since_boot,
            steady_start,
            boot_start: time_since_boot(),
            total_ms: Arc::default(),
        }
    }

    /// `total` returns the length of all suspensions since the start, in whole milliseconds.
    pub fn total(&self) -> Duration {
        let with_suspensions = (self.time_since_boot)().saturating_sub(self.boot_start);
        let suspended = with_suspensions.saturating_sub(self.steady_start.elapsed());
        let ms = u64::try_from(suspended.as_millis()).unwrap_or(u64::MAX);
        let before = self.total_ms.fetch_max(ms, Ordering::Relaxed);
        Duration::from_millis(before.max(ms))
    }
}

// The fields of the kernel's time are never negative.
fn time_since_boot() -> Duration {
    let now = time::clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(now.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
