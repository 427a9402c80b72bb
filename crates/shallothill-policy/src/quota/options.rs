//! The tolerance of the quotas and the behaviour of a holder.

use std::time::Duration;

use shallothill_core::config::Quota;

/// `TIME_TO_LIVE` is the time from the sending of a request to the expiry of the tokens in its reply.
/// It is the longest time for which a lost process can use tokens.
pub const TIME_TO_LIVE: Duration = Duration::from_millis(3000);

/// `REPORT_GRACE` is the time after the expiry of tokens in which their receiver reports what it did
/// not use, through two levels of periodic requests. Later the tokens count as used.
pub(super) const REPORT_GRACE: Duration = Duration::from_millis(1500);

/// `MICROS` is one token in the unit of the buckets.
pub(super) const MICROS: u64 = 1_000_000;

/// `CAPACITY_PERCENT` is the part of the tolerated excess that buckets save up.
const CAPACITY_PERCENT: u64 = 25;

/// `GAIN_PERCENT` is the part of the tolerated excess that buckets gain in a window beyond the rate. A
/// caller that sends its rate and a burst in each window is served then, which the rate alone does not
/// allow.
const GAIN_PERCENT: u64 = 50;

/// `TAKEOVER_PERCENT` is the part of the tolerated excess that a new issuer grants while tokens of
/// the former one may be in use. The rest covers requests that arrive at backend servers in another
/// order than they took their tokens.
const TAKEOVER_PERCENT: u64 = 20;

/// `CreditOptions` states by how much the requests of a caller may exceed its quota: in each window,
/// by a part of the quota and a number of requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CreditOptions {
    /// The length of the window.
    pub window: Duration,
    /// The tolerated excess in percent of the requests that the quota allows in a window.
    pub overage_percent: u32,
    /// The tolerated excess beyond that, in requests.
    pub slack: u32,
}

impl Default for CreditOptions {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            overage_percent: 10,
            slack: 20,
        }
    }
}

impl CreditOptions {
    /// `capacity` returns the micro-tokens that a caller's bucket and all holders of its tokens have
    /// together at most.
    pub(super) fn capacity(&self, quota: &Quota) -> u64 {
        let part = self.excess(quota) / 100 * CAPACITY_PERCENT;
        (burst(quota) + part).max(MICROS)
    }

    /// `gain` returns the micro-tokens that a bucket gains in `time`.
    pub(super) fn gain(&self, quota: &Quota, time: Duration) -> u64 {
        let window_ms = u64::try_from(self.window.as_millis()).unwrap_or(u64::MAX);
        let ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let extra_per_ms = self.excess(quota) / 100 * GAIN_PERCENT / window_ms.max(1);
        refill(quota, time).saturating_add(extra_per_ms.saturating_mul(ms))
    }

    /// `takeover` returns the micro-tokens that a new issuer grants and saves up at first.
    pub(super) fn takeover(&self, quota: &Quota) -> u64 {
        self.excess(quota) / 100 * TAKEOVER_PERCENT
    }

    fn excess(&self, quota: &Quota) -> u64 {
        let allowed = refill(quota, self.window) + burst(quota);
        allowed / 100 * u64::from(self.overage_percent) + u64::from(self.slack) * MICROS
    }
}

// Returns the micro-tokens that the rate of a quota allows in `time`.
fn refill(quota: &Quota, time: Duration) -> u64 {
    let rate = quota.limited_rate().unwrap_or_default();
    let ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    u64::from(rate.thousandths()).saturating_mul(ms)
}

fn burst(quota: &Quota) -> u64 {
    u64::from(quota.burst.unwrap_or(0)) * MICROS
}

/// `HolderOptions` sets how many tokens a holder keeps in advance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HolderOptions {
    /// The time for which the tokens should last at the recent demand.
    pub horizon: Duration,
    /// The tokens kept for a caller with little demand of which two requests came recently.
    pub reserve: u32,
}

impl Default for HolderOptions {
    fn default() -> Self {
        Self {
            horizon: Duration::from_millis(1500),
            reserve: 1,
        }
    }
}

impl HolderOptions {
    /// `relay` returns the options of a relay, which only has to bridge the time to its next request.
    pub fn relay() -> Self {
        Self {
            horizon: Duration::from_millis(300),
            reserve: 0,
        }
    }
}
