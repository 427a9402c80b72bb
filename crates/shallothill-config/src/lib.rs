//! Parses, checks, writes and compares configurations, and computes patches between their texts.

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
mod parse;
mod patch;
mod route;
mod scalars;
mod service;
mod split;
mod to_text;

pub use diff::{Change, diff};
pub use errors::{Error, Result};
pub use parse::{parse, parse_accepted};
pub use patch::{Edit, TextPatch};
pub use to_text::to_text;
