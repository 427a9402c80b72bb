//! Discrete-event simulation of backend servers, entry nodes, gates and keepers under virtual time.

mod events;
mod fault;
mod fleet;
mod fleet_control;
mod fleet_request;
mod naive;
mod server;
mod states;
mod totals;
mod workload;

pub use events::EventQueue;
pub use fault::{Fault, FaultKind};
pub use fleet::FleetSimulation;
pub use naive::NaiveSimulation;
pub use server::{MEAN_TO_MEDIAN, Server};
pub use states::{Reporting, StatesPlan, StatesSimulation, StatesTotals};
pub use totals::{Ejection, Totals};
pub use workload::{RunPlan, Workload};

/// `Micros` is virtual time in microseconds.
pub type Micros = u64;

/// `MS` is one millisecond.
pub const MS: Micros = 1000;
/// `SECOND` is one second.
pub const SECOND: Micros = 1_000_000;

use crate::deployment;

/// `one_way` returns the one-way network latency between two data centres.
pub fn one_way(from: usize, to: usize) -> Micros {
    if from == to {
        // Between hosts of one data centre.
        200
    } else if deployment::region_of(from) == deployment::region_of(to) {
        MS
    } else {
        20 * MS
    }
}

/// `millis` converts virtual time to the millisecond clock that the policies take.
pub fn millis(now: Micros) -> shallothill_core::time::Millis {
    shallothill_core::time::Millis(now / MS)
}
