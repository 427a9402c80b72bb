//! Reads and checks the configuration text, compares configurations and patches texts.

mod caller;
mod caller_limits;
mod checks;
mod cycles;
mod diff;
mod errors;
mod faults;
mod fields;
pub mod limits;
mod node;
mod patch;
mod read;
mod route;
mod scalars;
mod service;
mod write;

pub use diff::{Change, diff};
pub use errors::{Error, Result};
pub use patch::TextPatch;
pub use read::read;
pub use write::write;
