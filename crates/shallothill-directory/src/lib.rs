//! Membership of backend servers and the leases that bound ejections.

mod cursor;
mod delta;
mod directory;
mod endpoint_load;
mod endpoint_status;
mod entry;
mod kept;
mod lease_holder;
mod lease_member;
mod lease_messages;
mod merge;
mod options;
mod report;
mod service_summary;

pub use cursor::Cursor;
pub use delta::{Change, Delta};
pub use directory::Directory;
pub use endpoint_load::EndpointLoad;
pub use endpoint_status::EndpointStatus;
pub use entry::{Contact, NodeEntry};
pub use lease_holder::{HolderState, LeaseHolder};
pub use lease_member::LeaseMember;
pub use lease_messages::{LeaseAnswer, LeaseReply, LeaseRequest, ReleaseRequest, Token};
pub use options::{DirectoryOptions, LeaseOptions};
pub use report::NodeReport;
pub use service_summary::ServiceSummary;
