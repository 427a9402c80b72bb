//! A fleet of nodes and keepers that enforce quotas, under virtual time and with seeded faults.

mod event;
mod fleet;
mod keeper;
mod node;
mod record;
mod shares;
mod steps;
mod workload;

pub use fleet::{Fleet, FleetOptions};
pub use record::{CallerRecord, worst_window_excess};
pub use shares::fixed_shares;
pub use workload::{Demand, quota};
