//! Quotas of callers.

use std::fmt;

use serde::{Deserialize, Serialize};

/// `RequestRate` is a number of requests per second, in thousandths.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RequestRate(u32);

impl RequestRate {
    /// `from_thousandths` returns the rate of `n` requests in 1,000 s.
    pub fn from_thousandths(n: u32) -> Self {
        Self(n)
    }

    /// `thousandths` returns the number of requests in 1,000 s.
    pub fn thousandths(self) -> u32 {
        self.0
    }

    /// `from_per_second` returns `None` for a number that has more than three decimals, is negative,
    /// not finite or above 4 million.
    pub fn from_per_second(rate: f64) -> Option<Self> {
        let thousandths = (rate * 1000.0).round();
        let in_range = (0.0..=f64::from(u32::MAX)).contains(&thousandths);
        let rounded = in_range.then_some(Self(thousandths as u32));
        rounded.filter(|r| r.per_second() == rate)
    }

    /// `per_second` returns the requests per second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1000.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second())
    }
}

/// `Quota` bounds the requests of one caller over all nodes together: a rate and a burst beyond it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Quota {
    /// The requests per second; `None` or 0 for no limit.
    pub requests_per_s: Option<RequestRate>,
    /// The requests beyond the rate that may be saved up; `None` is 0.
    pub burst: Option<u32>,
}

impl Quota {
    /// `limited_rate` returns the rate, or `None` if the quota does not limit the caller.
    pub fn limited_rate(&self) -> Option<RequestRate> {
        self.requests_per_s.filter(|r| *r > RequestRate::default())
    }
}
