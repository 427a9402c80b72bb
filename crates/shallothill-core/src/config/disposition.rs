//! The trade between quick detection and few false ejections.

use serde::{Deserialize, Serialize};

/// `Disposition` weighs quick detection (0) against few false ejections (1000), in thousandths.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Disposition(u16);

impl Disposition {
    /// `QUICK` prefers quick detection.
    pub const QUICK: Self = Self(0);
    /// `CAUTIOUS` prefers few false ejections.
    pub const CAUTIOUS: Self = Self(1000);

    /// `from_thousandths` limits `n` to 1000 and returns the disposition.
    pub fn from_thousandths(n: u16) -> Self {
        Self(n.min(1000))
    }

    /// `interpolate` returns the value between `quick` and `cautious` in proportion to the
    /// disposition.
    pub fn interpolate(self, quick: f64, cautious: f64) -> f64 {
        quick + (cautious - quick) * f64::from(self.0) / 1000.0
    }
}
