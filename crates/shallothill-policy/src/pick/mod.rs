//! Selection of a backend server for an attempt by distance, state and load.

mod byte_budget;
mod choose;
mod endpoint;
mod options;
mod path_stats;
mod request;
mod service_table;
mod stats;
mod tables;

pub use byte_budget::ByteBudget;
pub use endpoint::{Endpoint, EndpointInfo, EndpointKey};
pub use options::PickOptions;
pub use path_stats::PathStats;
pub use request::{PickRequest, Picked, Tier};
pub use service_table::ServiceTable;
pub use stats::{EndpointStats, InFlight, ReportedLoad};
pub use tables::ServiceTables;
