//! Failure detection: judges a backend server by the requests that it serves.

mod baseline;
mod cusum;
mod detector;
mod evidence;
mod options;
mod suspicion;
mod verdict;
mod window;

pub use detector::Detector;
pub use evidence::Evidence;
pub use options::DetectOptions;
pub use verdict::{FailureMode, Verdict};
