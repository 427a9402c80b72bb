//! Latency and failure model of a backend server.

use rand::Rng;
use rand::rngs::SmallRng;

use crate::sim::fault::{Fault, FaultKind};
use crate::sim::{MS, Micros};

// Standard deviation of log latencies; one request in a thousand takes five times the median.
const LOG_LATENCY_SIGMA: f64 = 0.5;

/// `MEAN_TO_MEDIAN` is the ratio of the mean latency to the median one: exp(σ² / 2) for σ = 0.5.
pub const MEAN_TO_MEDIAN: f64 = 1.133_148_453;

/// `Server` draws random latencies and failures under the active faults.
#[derive(Clone, Debug)]
pub struct Server {
    /// The index of the server in the deployment.
    pub number: usize,
    /// The median latency without faults.
    pub median: Micros,
}

/// `RunOutcome` is the result of running a request on a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RunOutcome {
    /// The server answers after this time.
    Served(Micros),
    /// The server returns an error after this time.
    Failed(Micros),
    /// The server never answers.
    Hangs,
}

impl Server {
    /// `run` draws the outcome of a request that starts at `now`.
    pub fn run(&self, now: Micros, faults: &[Fault], rng: &mut SmallRng) -> RunOutcome {
        let mut took = self.median as f64 * (LOG_LATENCY_SIGMA * draw_normal(rng)).exp();
        for fault in faults.iter().filter(|f| f.affects(self.number, now)) {
            match fault.kind {
                FaultKind::Stall | FaultKind::Flapping => return RunOutcome::Hangs,
                FaultKind::Slow(factor) => took *= factor,
                FaultKind::Errors(share) if rng.random_bool(share) => {
                    return RunOutcome::Failed(5 * MS);
                }
                FaultKind::Crashed => return RunOutcome::Failed(MS),
                FaultKind::Pauses => took += self.pause_left(now) as f64,
                FaultKind::HeavyRequests(share) if rng.random_bool(share) => took *= 10.0,
                _ => {}
            }
        }
        RunOutcome::Served((took as Micros).max(1))
    }

    fn pause_left(&self, now: Micros) -> Micros {
        // Pauses of 0.4 to 1.2 s are staggered across the servers.
        let number = self.number as Micros;
        let phase = (now + number * 800 * MS) % (10_000 * MS);
        (400 * MS + number * 70 * MS).saturating_sub(phase)
    }

    /// `probe` draws the duration of a probe, 25 ms at the median, or `None` when it fails.
    pub fn probe(&self, now: Micros, faults: &[Fault], rng: &mut SmallRng) -> Option<Micros> {
        let mut took = 25.0 * MS as f64 * (0.2 * draw_normal(rng)).exp();
        for fault in faults.iter().filter(|f| f.affects(self.number, now)) {
            match fault.kind {
                FaultKind::Slow(factor) => took *= factor,
                FaultKind::Errors(share) if rng.random_bool(share) => return None,
                FaultKind::Crashed | FaultKind::MisleadingProbe => return None,
                FaultKind::Pauses => took += self.pause_left(now) as f64,
                _ => {}
            }
        }
        Some(took as Micros)
    }
}

fn draw_normal(rng: &mut SmallRng) -> f64 {
    // Box-Muller transform of two uniform numbers.
    let u: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    let v: f64 = rng.random_range(0.0..1.0);
    (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos()
}
