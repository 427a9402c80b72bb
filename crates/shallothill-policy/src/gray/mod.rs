//! Episodes of gray failure: a backend server fails most requests while its health checks pass.

mod caution;
mod estimate;
mod options;

pub use caution::Caution;
pub use estimate::{EpisodeEstimator, Observation};
pub use options::GrayOptions;
