//! The configuration of the node: applies updates and looks up routes, services and callers.

mod route_table;
mod snapshot;
mod store;

pub use route_table::{NamedRoute, RouteLookup, RouteTable};
pub use snapshot::{ConfigSnapshot, Sections};
pub use store::{ApplyResult, ConfigStore};
