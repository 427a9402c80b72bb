//! Configurable behaviour of a stand-in backend server, including the faults that it injects;
//! settable at run time as JSON.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// `Flap` alternates between phases of normal work and phases in which work stalls. The first
/// normal phase begins when the behaviour is set.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Flap {
    /// Length of a normal phase in milliseconds.
    pub good_ms: u64,
    /// Length of a stalled phase in milliseconds.
    pub bad_ms: u64,
}

/// `ColdStart` adds latency to the first requests, as an empty cache does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// How many requests are slower.
    pub requests: u64,
    /// The latency that is added to each of them, in milliseconds.
    pub extra_ms: u64,
}

/// `Behaviour` sets the latency and the injected faults of a stand-in; the default answers every
/// request at once with status 200.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Processing time of a request in milliseconds.
    pub latency_ms: u64,
    /// Latency by path prefix in milliseconds; a matching prefix replaces `latency_ms`.
    pub latency_by_path: BTreeMap<String, u64>,
    /// Multiplies the latency, if set.
    pub slow_factor: Option<u32>,
    /// Answers health probes, but never finishes other requests.
    pub stall: bool,
    /// Alternates between normal work and stalls, if set.
    pub flap: Option<Flap>,
    /// Adds latency to the first requests, if set.
    pub cold_start: Option<ColdStart>,
    /// Percentage of requests that run and fail with status 500.
    pub error_percent: u8,
    /// Percentage of requests that are shed, without running, with status 503.
    pub shed_percent: u8,
    /// Sheds a request while at least this many are running, if set.
    pub shed_above: Option<usize>,
    /// Percentage of responses that are cut off after half of the body.
    pub truncate_percent: u8,
    /// Ends the process without an answer when the path or the body holds this text.
    pub crash_mark: Option<String>,
    /// Announces the state `draining`; requests are still answered.
    pub draining: bool,
    /// Announces this state in place of the real one, if set.
    pub claimed_state: Option<String>,
    /// Announces this number of slots in place of the real one, if set.
    pub claimed_slots: Option<u16>,
    /// Size of the padding that is added to each response, in bytes.
    pub answer_bytes: usize,
}

impl Behaviour {
    /// `stalls` returns whether work stalls `ms` milliseconds after the behaviour was set.
    pub fn stalls(&self, ms: u64) -> bool {
        let in_bad_phase = |f: Flap| ms % (f.good_ms + f.bad_ms).max(1) >= f.good_ms;
        self.stall || self.flap.is_some_and(in_bad_phase)
    }

    /// `work_ms` returns the processing time, in milliseconds, of request number `n` (from 0) for
    /// `path`.
    pub fn work_ms(&self, n: u64, path: &str) -> u64 {
        let extra = match self.cold_start {
            Some(cold) if n < cold.requests => cold.extra_ms,
            _ => 0,
        };
        let by_prefix = |(prefix, ms): (&String, &u64)| path.starts_with(prefix).then_some(*ms);
        let latency_ms = self.latency_by_path.iter().find_map(by_prefix);
        let latency_ms = latency_ms.unwrap_or(self.latency_ms);
        latency_ms * u64::from(self.slow_factor.unwrap_or(1)) + extra
    }

    /// `state` returns the state to announce after `served` requests; `claimed_state` takes
    /// precedence over the real one.
    pub fn state(&self, served: u64) -> &str {
        match (&self.claimed_state, self.cold_start) {
            (Some(state), _) => state,
            _ if self.draining => "draining",
            (None, Some(cold)) if served < cold.requests => "cold",
            _ => "ready",
        }
    }
}
