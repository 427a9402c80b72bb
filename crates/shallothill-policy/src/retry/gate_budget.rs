//! The share of a service's retry budget that one gate enforces.

use std::collections::VecDeque;

use shallothill_core::time::Millis;

use crate::retry::gate_options::GateRetryOptions;

/// `SECOND_MS` is the width of one bucket of the sliding window, in milliseconds.
const SECOND_MS: u64 = 1000;

/// `SecondCounts` counts the requests that were passed on in one second.
#[derive(Clone, Copy, Debug, Default)]
struct SecondCounts {
    second: u64,
    first: u32,
    repeated: u32,
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
/// the saved retries. A gate that has just started does not know what was passed on before, so its
/// share grows over the first window.
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

    /// `set_options` applies a changed configuration or number of gates.
    pub fn set_options(&mut self, options: GateRetryOptions) {
        self.options = options;
    }

    /// `record_first` counts a request that no backend server has received before.
    pub fn record_first(&mut self, now: Millis) {
        self.current_second(now).first += 1;
    }

    /// `allows_retry` returns whether a retry may be passed on.
    pub fn allows_retry(&self, now: Millis) -> bool {
        let window_ms = self.options.window.as_millis() as u64;
        let oldest = now.0.saturating_sub(window_ms) / SECOND_MS;
        // The oldest second is only partly inside the window: its retries count, its first requests
        // don't.
        let repeated: u32 = self.counts_since(oldest).map(|c| c.repeated).sum();
        let first: u32 = self.counts_since(oldest + 1).map(|c| c.first).sum();
        let age_ms = now.saturating_since(self.started_at).as_millis() as u64;
        let elapsed_share = age_ms.min(window_ms) as f64 / window_ms.max(1) as f64;
        let ratio = f64::from(self.options.budget_percent) / 100.0;
        let limit = f64::from(first) * ratio + self.options.saved_retries * elapsed_share;
        f64::from(repeated) + 1.0 <= limit
    }

    /// `record_retry` counts a retry that is passed on.
    pub fn record_retry(&mut self, now: Millis) {
        self.current_second(now).repeated += 1;
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
