//! Seeded arrivals of requests.

use rand::Rng;
use rand::rngs::StdRng;
use shallothill_core::config::{Quota, RequestRate};
use shallothill_core::time::Millis;

/// `quota` returns a quota of `thousandths` of a request per second and `burst`.
pub fn quota(thousandths: u32, burst: u32) -> Quota {
    Quota {
        requests_per_s: Some(RequestRate::from_thousandths(thousandths)),
        burst: Some(burst),
    }
}

/// `Demand` is a stream of requests of one caller with exponential distances.
#[derive(Clone, Debug)]
pub struct Demand {
    /// The caller.
    pub caller: u64,
    /// The mean requests per second.
    pub rate: f64,
    /// The first and the number of the nodes that the requests go to, each with the same chance.
    pub nodes: (usize, usize),
    /// The start and the end.
    pub time: (Millis, Millis),
}

impl Demand {
    /// `arrivals` returns the time and the node of each request.
    pub(super) fn arrivals(&self, rng: &mut StdRng) -> Vec<(Millis, usize)> {
        let mut all = Vec::new();
        let mut at = self.time.0.0 as f64;
        loop {
            let u: f64 = rng.random_range(f64::EPSILON..1.0);
            at += -u.ln() / self.rate * 1000.0;
            if at >= self.time.1.0 as f64 {
                return all;
            }
            let node = self.nodes.0 + rng.random_range(0..self.nodes.1);
            all.push((Millis(at as u64), node));
        }
    }
}
