//! The configuration in force on the node.

mod route_table;
mod snapshot;
mod store;

pub use route_table::{Lookup, NamedRoute, RouteTable};
pub use snapshot::{Sections, Snapshot};
pub use store::{Applied, Store};
