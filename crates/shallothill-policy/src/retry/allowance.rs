//! The part of a service's retry budget that one backend server may take.

use std::collections::VecDeque;

use shallothill_core::time::Millis;

use crate::retry::allowance_options::GateRetryOptions;

/// `SECOND_MS` is the width of the counts, in milliseconds.
const SECOND_MS: u64 = 1000;

/// `Counts` are the arrivals of one second.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    second: u64,
    first: u32,
    repeated: u32,
}

/// `Allowance` bounds the repeated requests that one gate passes on, over a sliding window.
///
/// It answers a load in which failures come in bursts and at a few requests a second for each node.
/// A budget that each of many nodes keeps for its own requests is mostly in the wrong place then: the
/// gates of a service are fewer, see several times as many requests each, and a node that is refused
/// at one of them asks the next.
///
/// In any window, all gates of a service together pass on at most the ratio of the first requests
/// and the saved retries: each one counts its own, and takes an equal part of the saved ones. A gate
/// that has just started does not know what was passed on before, so its part grows over the first
/// window.
#[derive(Clone, Debug)]
pub struct GateRetryBudget {
    options: GateRetryOptions,
    since: Millis,
    seconds: VecDeque<Counts>,
}

impl GateRetryBudget {
    /// `new` starts at `now` with nothing counted.
    pub fn new(options: GateRetryOptions, now: Millis) -> Self {
        Self {
            options,
            since: now,
            seconds: VecDeque::new(),
        }
    }

    /// `set_options` takes over a changed configuration or number of gates.
    pub fn set_options(&mut self, options: GateRetryOptions) {
        self.options = options;
    }

    /// `first` counts a request that no backend server has received before.
    pub fn record_first(&mut self, now: Millis) {
        self.current(now).first += 1;
    }

    /// `allows` tells whether a repeated request may be passed on.
    pub fn allows_retry(&self, now: Millis) -> bool {
        let window_ms = self.options.window.as_millis() as u64;
        let oldest = now.0.saturating_sub(window_ms) / SECOND_MS;
        // The oldest second lies in the window in part: its retries count, its first requests don't.
        let repeated: u32 = self.since_second(oldest).map(|c| c.repeated).sum();
        let first: u32 = self.since_second(oldest + 1).map(|c| c.first).sum();
        let age_ms = now.saturating_since(self.since).as_millis() as u64;
        let part = age_ms.min(window_ms) as f64 / window_ms.max(1) as f64;
        let ratio = f64::from(self.options.budget_percent) / 100.0;
        let most = f64::from(first) * ratio + self.options.saved_retries * part;
        f64::from(repeated) + 1.0 <= most
    }

    /// `repeated` counts a repeated request that is passed on.
    pub fn record_retry(&mut self, now: Millis) {
        self.current(now).repeated += 1;
    }

    fn since_second(&self, second: u64) -> impl Iterator<Item = &Counts> {
        self.seconds.iter().filter(move |c| c.second >= second)
    }

    fn current(&mut self, now: Millis) -> &mut Counts {
        let second = now.0 / SECOND_MS;
        let kept = self.options.window.as_secs() + 2;
        while self
            .seconds
            .front()
            .is_some_and(|c| c.second + kept < second)
        {
            self.seconds.pop_front();
        }
        if self.seconds.back().is_none_or(|c| c.second < second) {
            self.seconds.push_back(Counts {
                second,
                ..Counts::default()
            });
        }
        let last = self.seconds.len() - 1;
        &mut self.seconds[last]
    }
}
