//! A backend server with its gate, in the simulation of server states.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use shallothill_core::health::ServingState;
use shallothill_core::time::Millis;
use shallothill_policy::admit;
use shallothill_policy::admit::{GateOptions, Ticket};
use shallothill_policy::gray::{EpisodeEstimator, GrayOptions};
use shallothill_policy::notices::{NoticeSchedule, RecentSenders};
use shallothill_policy::pick::{EndpointKey, ReportedLoad};

use crate::sim::{MS, Micros, SECOND};

pub(super) const WORK: Duration = Duration::from_millis(500);
const EPISODE_SHARE: f64 = 0.3;
const MEAN_EPISODE: f64 = 9.0;
const FAILURE_RATE: f64 = 0.9;
// Time until a gray server fails a request, and until a full one turns it away.
const FAST_FAILURE: Micros = 15 * MS;
const SHED_AFTER: Micros = 2 * MS;
const COLD_REQUESTS: u32 = 40;

/// `Run` is how a server ends a request that its gate passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Run {
    Served(Micros),
    Failed(Micros),
    Shed(Micros),
}

/// `Host` is a backend server and its gate.
pub(super) struct Host {
    pub(super) key: EndpointKey,
    pub(super) dc: usize,
    pub(super) gate: admit::Gate,
    pub(super) gray: EpisodeEstimator,
    pub(super) senders: RecentSenders,
    pub(super) notices: NoticeSchedule,
    pub(super) attempts: BTreeMap<Ticket, u64>,
    pub(super) runs: u64,
    pub(super) slots: u16,
    /// Concurrent requests above which the server turns requests away.
    limit: usize,
    /// The duration of its requests relative to the mean of all servers.
    slowness: f64,
    /// Whether only an idle server is reported as unproven.
    pub(super) only_idle_unproven: bool,
    sick: bool,
    cold_left: u32,
    running: usize,
}

impl Host {
    pub(super) fn new(key: EndpointKey, dc: usize, rng: &mut SmallRng) -> Self {
        let slots: u16 = rng.random_range(7..=13);
        let options = GateOptions {
            slots,
            queue_capacity: slots * 2,
            expected_latency: WORK,
            cold_start_requests: 0,
            ..GateOptions::default()
        };
        Self {
            key,
            dc,
            gate: admit::Gate::new(options, false),
            gray: EpisodeEstimator::new(GrayOptions {
                episode_share: EPISODE_SHARE,
                ..GrayOptions::default()
            }),
            senders: RecentSenders::default(),
            notices: NoticeSchedule::default(),
            attempts: BTreeMap::new(),
            runs: 0,
            slots,
            limit: usize::from(slots),
            slowness: rng.random_range(0.6..1.4),
            only_idle_unproven: false,
            sick: rng.random_bool(EPISODE_SHARE),
            cold_left: 0,
            running: 0,
        }
    }

    /// Begins or ends an episode; returns the time until the next change. One episode in sixteen
    /// ends with a restart of the server.
    pub(super) fn toggle(&mut self, rng: &mut SmallRng) -> Micros {
        self.sick = !self.sick;
        if !self.sick && rng.random_bool(1.0 / 16.0) {
            self.cold_left = COLD_REQUESTS;
        }
        self.time_to_change(rng)
    }

    pub(super) fn time_to_change(&self, rng: &mut SmallRng) -> Micros {
        let mean = if self.sick {
            MEAN_EPISODE
        } else {
            MEAN_EPISODE * (1.0 - EPISODE_SHARE) / EPISODE_SHARE
        };
        let drawn = -rng.random_range(1e-6..1.0f64).ln() * mean;
        (drawn * SECOND as f64) as Micros
    }

    /// Runs a request; [`Host::end`] must follow after the returned time.
    pub(super) fn run(&mut self, rng: &mut SmallRng) -> Run {
        self.runs += 1;
        self.running += 1;
        if self.running > self.limit {
            return Run::Shed(SHED_AFTER);
        }
        if self.sick && rng.random_bool(FAILURE_RATE) {
            return Run::Failed(FAST_FAILURE);
        }
        let used = self.running as f64 / self.limit as f64;
        let crowded = 1.0 + 1.25 * (used - 0.8).max(0.0);
        let cold = if self.cold_left > 0 { 2.0 } else { 1.0 };
        let drawn = rng.random_range(0.6..1.4);
        let took = WORK.as_micros() as f64 * self.slowness * crowded * cold * drawn;
        Run::Served(took as Micros)
    }

    pub(super) fn end(&mut self, run: Run) {
        self.running -= 1;
        if matches!(run, Run::Served(_)) {
            self.cold_left = self.cold_left.saturating_sub(1);
        }
    }

    fn reports_unproven(&self, now: Millis) -> bool {
        if self.only_idle_unproven {
            return self.gate.is_idle() && self.gray.lacks_evidence(now);
        }
        self.gray.is_unproven(now)
    }

    /// Returns the load that replies and datagrams carry, as the gate of a node reports it.
    pub(super) fn load(&self, now: Millis) -> ReportedLoad {
        let mut load = self.gate.load();
        if self.gray.is_suspect(now) {
            load.state = match self.gray.wants_trial(now) {
                true => ServingState::Ejected,
                false => ServingState::Demoted,
            };
            let valid = self.gray.suspected_for(now).as_millis();
            load.state_valid_ms = u16::try_from(valid).unwrap_or(u16::MAX);
        } else if self.reports_unproven(now) {
            load.state = ServingState::Unproven;
        }
        load
    }
}
