//! Monotonic and wall-clock time in milliseconds, passed as arguments to code without a clock.

use std::fmt;
use std::ops;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// `Millis` is a point in monotonic time, in milliseconds since the process (or a test) started.
///
/// It never decreases, and values of different processes cannot be compared.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// `saturating_since` returns the time from `earlier` to `self`, zero when `earlier` is later.
    pub fn saturating_since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add<Duration> for Millis {
    type Output = Self;

    fn add(self, d: Duration) -> Self {
        let ms = u64::try_from(d.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(ms))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

/// `UnixMillis` is wall-clock time in milliseconds since the Unix epoch. Wall clocks jump, so it is
/// used only for the age of idempotency keys and for output to operators.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);
