//! The replicated config log: its driver and the calls to it.

mod disk;
mod driver;
mod handle;
mod links;

pub use disk::{Disk, LOG_NAME};
pub use driver::{Driver, Parts};
pub use handle::{Command, LogHandle, LogStatus, Refusal};
pub use links::Links;
