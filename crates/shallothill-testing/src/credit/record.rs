//! What happened to the requests of a caller.

use shallothill_core::config::Quota;
use shallothill_core::time::Millis;

/// `CallerRecord` holds what happened to the requests of one caller.
#[derive(Clone, Debug, Default)]
pub struct CallerRecord {
    /// The times of the admitted requests.
    pub admitted: Vec<Millis>,
    /// The times of the requests refused as over the quota.
    pub denied: Vec<Millis>,
    /// The times of the requests refused as no keeper answered.
    pub no_credit: Vec<Millis>,
    /// The admitted requests that waited for a keeper.
    pub waited: u64,
    /// The total time that they waited, in ms.
    pub waited_ms: u64,
    /// The longest time that one waited, in ms.
    pub waited_max_ms: u64,
}

impl CallerRecord {
    /// `requests` returns the number of requests.
    pub fn requests(&self) -> usize {
        self.admitted.len() + self.denied.len() + self.no_credit.len()
    }

    /// `refused_within_quota` returns the number of refused requests beyond those that one token bucket
    /// for the whole fleet, with the quota's rate and burst, refuses.
    pub fn refused_within_quota(&self, quota: &Quota) -> usize {
        let all = self.admitted.iter().chain(&self.denied);
        let mut times: Vec<u64> = all.chain(&self.no_credit).map(|t| t.0).collect();
        times.sort_unstable();
        let rate = quota.limited_rate().unwrap_or_default().per_second();
        let capacity = f64::from(quota.burst.unwrap_or(0)).max(1.0);
        let (mut tokens, mut last, mut over) = (capacity, 0, 0);
        for at in times {
            tokens = (tokens + rate * (at - last) as f64 / 1000.0).min(capacity);
            last = at;
            if tokens >= 1.0 {
                tokens -= 1.0;
            } else {
                over += 1;
            }
        }
        (self.denied.len() + self.no_credit.len()).saturating_sub(over)
    }

    /// `refused_share` returns the part of the requests that was refused.
    pub fn refused_share(&self) -> f64 {
        let refused = self.denied.len() + self.no_credit.len();
        refused as f64 / self.requests().max(1) as f64
    }
}

/// `worst_window_excess` returns the highest number of requests beyond the bound in a sliding window
/// of 5 s that begins at `from` or later. The bound is that of the specification, with 10% and 20
/// requests of tolerance; a value up to 0 meets it.
pub fn worst_window_excess(admitted: &[Millis], quota: &Quota, from: Millis) -> f64 {
    const WINDOW_MS: u64 = 5000;
    let rate = quota.limited_rate().unwrap_or_default().per_second();
    let allowed = rate * WINDOW_MS as f64 / 1000.0 + f64::from(quota.burst.unwrap_or(0));
    let bound = allowed * 1.1 + 20.0;
    let times: Vec<u64> = admitted
        .iter()
        .map(|t| t.0)
        .filter(|t| *t >= from.0)
        .collect();
    let mut first = 0;
    let mut most = 0;
    for (i, at) in times.iter().enumerate() {
        while times[first] + WINDOW_MS <= *at {
            first += 1;
        }
        most = most.max(i + 1 - first);
    }
    most as f64 - bound
}
