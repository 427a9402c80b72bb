//! Generation of the requests that callers send.

use rand::Rng;
use rand::rngs::SmallRng;
use shallothill_core::class::Class;

use crate::deployment::{DATA_CENTRES, Deployment};
use crate::sim::fault::Fault;
use crate::sim::{Micros, SECOND};

/// `Workload` describes the load over time and the behaviour of callers.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Start time and load of each phase, in order; a load of 1 is the capacity of the service.
    pub phases: Vec<(Micros, f64)>,
    /// Fraction of the requests that comes from each data centre.
    pub shares: [f64; DATA_CENTRES],
    /// How long a caller waits for one send.
    pub deadline: Micros,
    /// How many times a caller resends an unanswered request.
    pub resends: u8,
}

/// `RunPlan` describes one run: the deployment, the workload and the injected faults.
#[derive(Clone, Debug)]
pub struct RunPlan {
    /// The simulated service and its endpoints.
    pub deployment: Deployment,
    /// The load and its distribution over data centres.
    pub workload: Workload,
    /// The injected faults.
    pub faults: Vec<Fault>,
    /// The virtual time at which the run ends.
    pub end: Micros,
    /// The seed of the random number generator.
    pub seed: u64,
}

/// `Call` is one request of a caller, including its resends.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// The class that admission uses.
    pub class: Class,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The caller's data centre.
    pub dc: usize,
    /// The idempotency key, which resends keep.
    pub key: u64,
    /// The number of resends so far.
    pub resent: u8,
    /// The time of the first send.
    pub first_sent: Micros,
}

impl Workload {
    /// `steady` builds a workload of constant load, spread evenly and without resends.
    pub fn steady(load: f64) -> Self {
        Self {
            phases: vec![(0, load)],
            shares: [1.0 / DATA_CENTRES as f64; DATA_CENTRES],
            deadline: 2 * SECOND,
            resends: 0,
        }
    }

    /// `load_at` returns the load at `now` as a multiple of the capacity.
    pub fn load_at(&self, now: Micros) -> f64 {
        let past = self.phases.iter().rev().find(|(from, _)| *from <= now);
        past.map_or(0.0, |(_, load)| *load)
    }
}

impl RunPlan {
    /// `next_call` draws the next request and the pause before it, exponentially distributed.
    pub fn next_call(&self, now: Micros, key: u64, rng: &mut SmallRng) -> (Micros, Call) {
        let rate = self.workload.load_at(now) * self.deployment.capacity();
        let u: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        let pause = (-u.ln() / rate.max(0.001) * SECOND as f64) as Micros;
        let classes = &self.deployment.classes;
        let shares: Vec<f64> = classes.iter().map(|(_, share)| *share).collect();
        let class = classes[draw_index(&shares, rng)].0;
        let dc = draw_index(&self.workload.shares, rng);
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

// Draws an index with the probability given by its share.
fn draw_index(shares: &[f64], rng: &mut SmallRng) -> usize {
    let mut left: f64 = rng.random_range(0.0..1.0);
    let found = shares.iter().position(|share| {
        left -= share;
        left <= 0.0
    });
    found.unwrap_or(0)
}
