//! Evidence of real requests and the verdict on a backend server.

mod detector;
mod evidence;
mod options;
mod reference;
mod score;
mod suspicion;
mod verdict;
mod window;

pub use detector::Detector;
pub use evidence::Evidence;
pub use options::DetectOptions;
pub use verdict::{FailureMode, Verdict};
