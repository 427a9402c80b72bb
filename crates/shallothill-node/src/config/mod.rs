//! The configuration in force on the node.

mod route_table;
mod snapshot;
mod store;

pub use route_table::{NamedRoute, RouteLookup, RouteTable};
pub use snapshot::{ConfigSnapshot, Sections};
pub use store::{ApplyResult, ConfigStore};
