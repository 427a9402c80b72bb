//! A fake backend server.

use rand::Rng;
use rand::rngs::SmallRng;

use crate::sim::fault::{Fault, FaultKind};
use crate::sim::{MS, Micros};

// The spread of log latencies; one request in a thousand takes five medians.
const SIGMA: f64 = 0.5;

/// `MEAN_TO_MEDIAN` is the ratio of the mean latency to the median one: exp(SIGMA² / 2).
pub const MEAN_TO_MEDIAN: f64 = 1.133_148_453;

/// `Server` draws how requests end.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its number.
    pub number: usize,
    /// The median latency.
    pub median: Micros,
}

/// `Run` is how a request ends that a server starts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Run {
    /// The answer comes after this time.
    Served(Micros),
    /// An error comes after this time.
    Failed(Micros),
    /// Nothing comes.
    Hangs,
}

impl Server {
    /// `run` draws how a request ends that starts at `now`.
    pub fn run(&self, now: Micros, faults: &[Fault], rng: &mut SmallRng) -> Run {
        let mut took = self.median as f64 * (SIGMA * normal(rng)).exp();
        for fault in faults.iter().filter(|f| f.acts(self.number, now)) {
            match fault.kind {
                FaultKind::Stall | FaultKind::Flapping => return Run::Hangs,
                FaultKind::Slow(factor) => took *= factor,
                FaultKind::Errors(share) if rng.random_bool(share) => return Run::Failed(5 * MS),
                FaultKind::Crashed => return Run::Failed(MS),
                FaultKind::Pauses => took += self.pause_left(now) as f64,
                FaultKind::HardRequests(share) if rng.random_bool(share) => took *= 10.0,
                _ => {}
            }
        }
        Run::Served((took as Micros).max(1))
    }

    fn pause_left(&self, now: Micros) -> Micros {
        // The servers pause one after the other, for 0.4 to 1.2 s.
        let number = self.number as Micros;
        let phase = (now + number * 800 * MS) % (10_000 * MS);
        (400 * MS + number * 70 * MS).saturating_sub(phase)
    }

    /// `probe` draws how long a probe takes, or `None` when it fails. The usual time is 25 ms.
    pub fn probe(&self, now: Micros, faults: &[Fault], rng: &mut SmallRng) -> Option<Micros> {
        let mut took = 25.0 * MS as f64 * (0.2 * normal(rng)).exp();
        for fault in faults.iter().filter(|f| f.acts(self.number, now)) {
            match fault.kind {
                FaultKind::Slow(factor) => took *= factor,
                FaultKind::Errors(share) if rng.random_bool(share) => return None,
                FaultKind::Crashed | FaultKind::LyingProbe => return None,
                FaultKind::Pauses => took += self.pause_left(now) as f64,
                _ => {}
            }
        }
        Some(took as Micros)
    }
}

fn normal(rng: &mut SmallRng) -> f64 {
    // Box and Muller's transform of two uniform numbers.
    let u: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    let v: f64 = rng.random_range(0.0..1.0);
    (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos()
}
