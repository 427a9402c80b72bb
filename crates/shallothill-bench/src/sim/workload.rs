//! What callers send.

use rand::Rng;
use rand::rngs::SmallRng;
use shallothill_core::class::Class;

use crate::deployment::{DATA_CENTRES, Deployment};
use crate::sim::fault::Fault;
use crate::sim::{Micros, SECOND};

/// `Workload` is the load over time: from each time on, this many times the capacity.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Times and loads, in order.
    pub phases: Vec<(Micros, f64)>,
    /// Shares of the callers in each data centre.
    pub shares: [f64; DATA_CENTRES],
    /// How long a caller waits for one send.
    pub deadline: Micros,
    /// How often a caller sends a request again that was not answered.
    pub resends: u8,
}

/// `Plan` is one run: who serves, what comes in and what goes wrong.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The deployment.
    pub deployment: Deployment,
    /// The load.
    pub workload: Workload,
    /// The faults.
    pub faults: Vec<Fault>,
    /// The end of the run.
    pub end: Micros,
    /// The seed of all random numbers.
    pub seed: u64,
}

/// `Call` is one caller's request.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// The class.
    pub class: Class,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// The caller's data centre.
    pub dc: usize,
    /// The caller's number of the request, the same for resends.
    pub key: u64,
    /// How often it was sent before.
    pub resent: u8,
    /// When it was first sent.
    pub first_sent: Micros,
}

impl Workload {
    /// `steady` is a load that does not change.
    pub fn steady(load: f64) -> Self {
        Self {
            phases: vec![(0, load)],
            shares: [1.0 / DATA_CENTRES as f64; DATA_CENTRES],
            deadline: 2 * SECOND,
            resends: 0,
        }
    }

    /// `load` returns the load at `now`, in capacities.
    pub fn load(&self, now: Micros) -> f64 {
        let past = self.phases.iter().rev().find(|(from, _)| *from <= now);
        past.map_or(0.0, |(_, load)| *load)
    }
}

impl Plan {
    /// `next_call` draws the pause until the next request and the request itself.
    pub fn next_call(&self, now: Micros, key: u64, rng: &mut SmallRng) -> (Micros, Call) {
        let rate = self.workload.load(now) * self.deployment.capacity();
        let u: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        let pause = (-u.ln() / rate.max(0.001) * SECOND as f64) as Micros;
        let classes = &self.deployment.classes;
        let shares: Vec<f64> = classes.iter().map(|(_, share)| *share).collect();
        let class = classes[draw(&shares, rng)].0;
        let dc = draw(&self.workload.shares, rng);
        let idempotent = class.is_internal() || !rng.random_bool(self.deployment.non_idempotent);
        let call = Call {
            class,
            idempotent,
            dc,
            key,
            resent: 0,
            first_sent: now + pause,
        };
        (pause.max(1), call)
    }
}

// Draws an index by its share.
fn draw(shares: &[f64], rng: &mut SmallRng) -> usize {
    let mut left: f64 = rng.random_range(0.0..1.0);
    let found = shares.iter().position(|share| {
        left -= share;
        left <= 0.0
    });
    found.unwrap_or(0)
}
