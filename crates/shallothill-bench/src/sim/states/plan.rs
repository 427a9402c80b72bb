//! The parameters and the results of a run of the simulation of server states.

use shallothill_policy::pick::PickOptions;

use crate::sim::{Micros, SECOND};

/// `StatesPlan` describes a service, its load and the rules under test.
#[derive(Clone, Debug)]
pub struct StatesPlan {
    /// The number of backend servers, spread over six data centres of three regions.
    pub servers: usize,
    /// The number of entry nodes; a gate runs on the same node as an entry.
    pub entries: usize,
    /// The load as a share of the capacity of all servers, sick ones included.
    pub load: f64,
    /// The share of requests that may run twice.
    pub idempotent: f64,
    /// The parameters of the pick.
    pub pick: PickOptions,
    /// How gates report states.
    pub reporting: Reporting,
    /// The duration of the run; the first two seconds are not counted.
    pub end: Micros,
    /// The seed of all random numbers.
    pub seed: u64,
}

/// `Reporting` selects the rule by which gates send datagrams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reporting {
    /// Every change and repeat goes to the first 32 nodes of the region.
    Region,
    /// [`shallothill_policy::notices`] decides; recent senders of all regions are informed.
    Senders,
}

/// `StatesTotals` counts what happened after the first two seconds.
#[derive(Clone, Debug, Default)]
pub struct StatesTotals {
    /// Requests that callers sent.
    pub offered: u64,
    /// Requests answered within the objective.
    pub in_objective: u64,
    /// Attempts that arrived at gates.
    pub arrivals: u64,
    /// Attempts refused because of a suspected gray failure.
    pub suspect: u64,
    /// Attempts refused for a full queue or a deadline.
    pub full: u64,
    /// Attempts that a server turned away.
    pub shed: u64,
    /// Attempts that a server failed.
    pub failed: u64,
    /// Attempts sent to another region.
    pub crossed: u64,
    /// Datagrams sent.
    pub datagrams: u64,
    /// Datagrams sent to another region.
    pub far_datagrams: u64,
    /// Changes of reported conditions.
    pub changes: u64,
    /// The load of the busiest server relative to the mean, by answers for each slot.
    pub busiest_to_mean: f64,
    /// The fewest requests that a server ran.
    pub fewest: u64,
}

impl StatesTotals {
    /// `add` adds the counts of another run, and its balance.
    pub fn add(&mut self, other: &Self) {
        let counts = [
            (&mut self.offered, other.offered),
            (&mut self.in_objective, other.in_objective),
            (&mut self.arrivals, other.arrivals),
            (&mut self.suspect, other.suspect),
            (&mut self.full, other.full),
            (&mut self.shed, other.shed),
            (&mut self.failed, other.failed),
            (&mut self.crossed, other.crossed),
            (&mut self.datagrams, other.datagrams),
            (&mut self.far_datagrams, other.far_datagrams),
            (&mut self.changes, other.changes),
        ];
        for (sum, n) in counts {
            *sum += n;
        }
        self.busiest_to_mean += other.busiest_to_mean;
        self.fewest = self.fewest.min(other.fewest);
    }
}

/// `WARM_UP` is the time that is not counted.
pub(super) const WARM_UP: Micros = 2 * SECOND;
