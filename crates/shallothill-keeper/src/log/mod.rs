//! The replicated config log: the driver of its replica, its disk and the calls to it.

mod disk;
mod driver;
mod handle;
mod links;

pub use disk::{LOG_NAME, LogDisk};
pub use driver::{Driver, DriverParts};
pub use handle::{LogCallError, LogCommand, LogHandle, LogStatus, ReadLease};
pub use links::PeerLinks;
