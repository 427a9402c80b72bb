//! The directory of nodes and their backend servers, and the leases that limit ejections.

mod cursor;
mod delta;
mod departure;
mod departure_reading;
mod directory;
mod endpoint_load;
mod endpoint_status;
mod entry;
mod lease_holder;
mod lease_messages;
mod lease_table;
mod merge;
mod options;
mod report;
mod service_summary;
mod tracked_node;

pub use cursor::Cursor;
pub use delta::{Delta, DirectoryChange};
pub use departure::{DEPARTURE_RETENTION, Departure, DepartureTable};
pub use departure_reading::DepartureReading;
pub use directory::Directory;
pub use endpoint_load::EndpointLoad;
pub use endpoint_status::EndpointStatus;
pub use entry::{Liveness, NodeEntry};
pub use lease_holder::{HolderState, LeaseHolder};
pub use lease_messages::{EjectionToken, LeaseAnswer, LeaseReply, LeaseRequest, ReleaseRequest};
pub use lease_table::LeaseTable;
pub use options::{DirectoryOptions, LeaseOptions};
pub use report::NodeReport;
pub use service_summary::ServiceSummary;
