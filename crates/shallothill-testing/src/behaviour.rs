//! What a stand-in backend server does to its requests; set at run time as JSON.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// `Flap` alternates between good times and times in which work stalls, from the moment it is set.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Flap {
    /// Length of a good time in milliseconds.
    pub good_ms: u64,
    /// Length of a bad time in milliseconds.
    pub bad_ms: u64,
}

/// `ColdStart` makes the first requests slower.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// How many requests are slower.
    pub requests: u64,
    /// By how many milliseconds.
    pub extra_ms: u64,
}

/// `Behaviour` is how a stand-in treats its requests; the default answers at once.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Time that the work of a request takes, in milliseconds.
    pub latency_ms: u64,
    /// The latency of paths that start so, in milliseconds, in place of `latency_ms`.
    pub latency_by_path: BTreeMap<String, u64>,
    /// Multiplies the latency, if set.
    pub slow_factor: Option<u32>,
    /// Answers probes, but never finishes real work.
    pub stall: bool,
    /// Alternates between good times and stalls.
    pub flap: Option<Flap>,
    /// Makes the first requests slower.
    pub cold_start: Option<ColdStart>,
    /// Percent of requests that run and fail with status 500.
    pub error_percent: u8,
    /// Percent of requests that are shed with status 503.
    pub shed_percent: u8,
    /// Sheds requests while this many run, if set.
    pub shed_above: Option<usize>,
    /// Percent of answers that break off in the middle.
    pub truncate_percent: u8,
    /// Ends the process without an answer when the path or the body holds this text.
    pub crash_mark: Option<String>,
    /// Announces `draining`.
    pub draining: bool,
    /// Announces this state whatever the real one is.
    pub claimed_state: Option<String>,
    /// Announces this number of slots whatever the real one is.
    pub claimed_slots: Option<u16>,
    /// Size of the padding of an answer in bytes.
    pub answer_bytes: usize,
}

impl Behaviour {
    /// `stalls` tells whether work stalls `ms` milliseconds after the behaviour was set.
    pub fn stalls(&self, ms: u64) -> bool {
        let bad_time = |f: Flap| ms % (f.good_ms + f.bad_ms).max(1) >= f.good_ms;
        self.stall || self.flap.is_some_and(bad_time)
    }

    /// `work_ms` returns the time that request number `n`, from 0, with this path takes.
    pub fn work_ms(&self, n: u64, path: &str) -> u64 {
        let extra = match self.cold_start {
            Some(cold) if n < cold.requests => cold.extra_ms,
            _ => 0,
        };
        let of_path = |(prefix, ms): (&String, &u64)| path.starts_with(prefix).then_some(*ms);
        let latency_ms = self.latency_by_path.iter().find_map(of_path);
        let latency_ms = latency_ms.unwrap_or(self.latency_ms);
        latency_ms * u64::from(self.slow_factor.unwrap_or(1)) + extra
    }

    /// `state` returns the state to announce after `served` requests.
    pub fn state(&self, served: u64) -> &str {
        match (&self.claimed_state, self.cold_start) {
            (Some(state), _) => state,
            _ if self.draining => "draining",
            (None, Some(cold)) if served < cold.requests => "cold",
            _ => "ready",
        }
    }
}
