//! The latency of a kind of request without waiting.

use std::time::Duration;

/// `DOWN_SHIFT` is the binary logarithm of the divisor by which an estimate follows a faster answer.
const DOWN_SHIFT: u32 = 2;

/// `UP_SHIFT` is the binary logarithm of the divisor by which an estimate follows a slower answer.
/// It is larger, because most slow answers have waited for a slot, and the estimate excludes that.
const UP_SHIFT: u32 = 5;

/// `UsualLatency` estimates the time that an answer takes once no other request waits before it: a
/// low quantile of the measured latencies.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UsualLatency(Option<Duration>);

impl UsualLatency {
    /// `get` returns the estimate, zero before the first answer.
    pub fn get(&self) -> Duration {
        self.0.unwrap_or_default()
    }

    /// `record` adds the latency of an answer.
    pub fn record(&mut self, latency: Duration) {
        let next = match self.0 {
            None => latency,
            Some(known) if latency < known => known - ((known - latency) / (1 << DOWN_SHIFT)),
            Some(known) => known + ((latency - known) / (1 << UP_SHIFT)),
        };
        self.0 = Some(next);
    }
}
