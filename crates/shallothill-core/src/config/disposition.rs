//! The trade-off between quick detection of unhealthy backend servers and few false ejections.

use serde::{Deserialize, Serialize};

/// `Disposition` sets the trade-off of a service, in thousandths: from quick detection (0) to few
/// false ejections (1000).
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Disposition(u16);

impl Disposition {
    /// `QUICK` detects as quickly as possible, at the cost of more false ejections.
    pub const QUICK: Self = Self(0);
    /// `CAUTIOUS` avoids false ejections, at the cost of slower detection.
    pub const CAUTIOUS: Self = Self(1000);

    /// `from_thousandths` returns the disposition `n`; values above 1000 become 1000.
    pub fn from_thousandths(n: u16) -> Self {
        Self(n.min(1000))
    }

    /// `interpolate` returns the value between `quick` and `cautious` in proportion to the
    /// disposition.
    pub fn interpolate(self, quick: f64, cautious: f64) -> f64 {
        quick + (cautious - quick) * f64::from(self.0) / 1000.0
    }
}
