//! The share of a service's retry budget that one gate enforces.

use std::collections::VecDeque;
use std::time::Duration;

use shallothill_core::time::Millis;

use crate::retry::gate_options::GateRetryOptions;

/// `SECOND_MS` is the width of one bucket of the sliding window, in milliseconds.
const SECOND_MS: u64 = 1000;

/// `RANK_RESERVE` is the part of the budget that each rank below the most urgent one leaves to the more
/// urgent ranks.
const RANK_RESERVE: f64 = 0.25;

/// `MAX_RESERVE` is the largest part of the budget that a rank leaves to others.
const MAX_RESERVE: f64 = 0.5;

/// `RetryWorth` is what a retry is worth compared with others when the budget is short.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RetryWorth {
    /// The rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// The work already spent on the request that this one is a call of; `None` for a new request.
    pub spent: Option<Duration>,
}

/// `SecondCounts` counts the requests that were passed on in one second.
#[derive(Clone, Copy, Debug, Default)]
struct SecondCounts {
    second: u64,
    first: u32,
    repeated: u32,
    /// The most urgent rank of the first requests.
    rank: Option<u8>,
    /// The smallest share of the saved retries that was in force.
    saved: Option<f64>,
}

/// `GateRetryBudget` limits the retries that one gate passes on, over a sliding window.
///
/// It suits a load in which failures come in bursts and each node sees a few requests per second. A
/// budget that each of many nodes keeps for its own requests is then mostly held by nodes that do
/// not need it: a service has fewer gates than there are entry nodes, each gate sees several times
/// as many requests, and an entry node that one gate refuses tries the next.
///
/// In any window, all gates of a service together pass on at most `budget_percent` of the first
/// requests plus the saved retries: each gate counts its own requests and gets an equal share of
/// the saved retries. A change of the number of gates adds nothing to their sum. A gate that has just
/// started does not know what was passed on before, so its share grows over the first window. A
/// larger share, after another gate has ended, counts once what that gate passed on has left the
/// window.
#[derive(Clone, Debug)]
pub struct GateRetryBudget {
    options: GateRetryOptions,
    started_at: Millis,
    seconds: VecDeque<SecondCounts>,
}

impl GateRetryBudget {
    /// `new` creates an empty window at `now`.
    pub fn new(options: GateRetryOptions, now: Millis) -> Self {
        Self {
            options,
            started_at: now,
            seconds: VecDeque::new(),
        }
    }

    /// `set_options` applies a changed configuration or number of gates; call it at least once a
    /// second.
    pub fn set_options(&mut self, now: Millis, options: GateRetryOptions) {
        let saved = options.saved_retries.min(self.options.saved_retries);
        self.options = options;
        let counts = self.current_second(now);
        counts.saved = Some(counts.saved.map_or(saved, |known| known.min(saved)));
    }

    /// `record_first` counts a request of `rank` that no backend server has received before.
    pub fn record_first(&mut self, now: Millis, rank: u8) {
        let counts = self.current_second(now);
        counts.first += 1;
        counts.rank = Some(counts.rank.map_or(rank, |known| known.min(rank)));
    }

    /// `try_retry` counts a retry if it may be passed on, and returns whether it may.
    pub fn try_retry(&mut self, now: Millis, worth: RetryWorth) -> bool {
        let allowed = self.allows_retry(now, worth);
        if allowed {
            self.record_retry(now);
        }
        allowed
    }

    /// `allows_retry` returns whether a retry of this worth may be passed on. The last part of the
    /// budget is kept for calls of running requests and for the more urgent ranks among the requests
    /// of the window.
    pub fn allows_retry(&self, now: Millis, worth: RetryWorth) -> bool {
        let window_ms = self.options.window.as_millis() as u64;
        let oldest = now.0.saturating_sub(window_ms) / SECOND_MS;
        // The oldest second is only partly inside the window: its retries count, its first requests
        // don't.
        let repeated: u32 = self.counts_since(oldest).map(|c| c.repeated).sum();
        let first: u32 = self.counts_since(oldest + 1).map(|c| c.first).sum();
        let ratio = f64::from(self.options.budget_percent) / 100.0;
        let limit = f64::from(first) * ratio + self.saved_share(now, oldest);
        let usable = limit * (1.0 - self.reserve(oldest, worth));
        f64::from(repeated) + 1.0 <= usable
    }

    /// `record_retry` counts a retry that is passed on.
    pub fn record_retry(&mut self, now: Millis) {
        self.current_second(now).repeated += 1;
    }

    // Returns the share of the saved retries: the smallest one of the window, and a part of it in the
    // first window.
    fn saved_share(&self, now: Millis, oldest: u64) -> f64 {
        let window_ms = self.options.window.as_millis() as u64;
        let age_ms = now.saturating_since(self.started_at).as_millis() as u64;
        let elapsed_share = age_ms.min(window_ms) as f64 / window_ms.max(1) as f64;
        let known = self.counts_since(oldest).filter_map(|c| c.saved);
        known.fold(self.options.saved_retries, f64::min) * elapsed_share
    }

    // Returns the part of the budget that a retry leaves to those of greater worth.
    fn reserve(&self, oldest: u64, worth: RetryWorth) -> f64 {
        let most_urgent = self.counts_since(oldest).filter_map(|c| c.rank).min();
        match (most_urgent, worth.spent) {
            (Some(most_urgent), None) => {
                let below = worth.rank.saturating_sub(most_urgent);
                (f64::from(below) * RANK_RESERVE).min(MAX_RESERVE)
            }
            _ => 0.0,
        }
    }

    fn counts_since(&self, second: u64) -> impl Iterator<Item = &SecondCounts> {
        self.seconds.iter().filter(move |c| c.second >= second)
    }

    fn current_second(&mut self, now: Millis) -> &mut SecondCounts {
        let second = now.0 / SECOND_MS;
        let kept_s = self.options.window.as_secs() + 2;
        while self
            .seconds
            .front()
            .is_some_and(|c| c.second + kept_s < second)
        {
            self.seconds.pop_front();
        }
        if self.seconds.back().is_none_or(|c| c.second < second) {
            self.seconds.push_back(SecondCounts {
                second,
                ..SecondCounts::default()
            });
        }
        let last = self.seconds.len() - 1;
        &mut self.seconds[last]
    }
}
