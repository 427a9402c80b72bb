//! The replicated config log: its driver and the calls to it.

mod handle;
mod local;

pub use handle::{Command, LogHandle, LogStatus, Refusal};
pub use local::run;
