//! Spells of gray failure: a backend server that fails most requests while its health checks pass.

mod estimate;
mod options;

pub use estimate::{Estimate, Sign};
pub use options::GrayOptions;
