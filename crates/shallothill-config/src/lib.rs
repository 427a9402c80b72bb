//! Reads and checks the configuration text, compares configurations and patches texts.

mod caller;
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

pub use diff::{Change, diff};
pub use errors::{Error, Result};
pub use patch::TextPatch;
pub use read::read;
