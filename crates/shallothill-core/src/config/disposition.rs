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

    /// `from_fraction` returns the disposition for a number from 0 to 1; `None` for one that is out of
    /// range or has more than three decimals.
    pub fn from_fraction(x: f64) -> Option<Self> {
        let in_range = (0.0..=1.0).contains(&x);
        let rounded = in_range.then(|| Self((x * 1000.0).round() as u16));
        rounded.filter(|d| d.interpolate(0.0, 1.0) == x)
    }

    /// `interpolate` returns the value between `quick` and `cautious` in proportion to the
    /// disposition.
    pub fn interpolate(self, quick: f64, cautious: f64) -> f64 {
        quick + (cautious - quick) * f64::from(self.0) / 1000.0
    }
}
