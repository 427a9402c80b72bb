//! Evidence of real requests and the verdict on a backend server.

mod detector;
mod evidence;
mod options;
mod verdict;

pub use detector::Detector;
pub use evidence::Evidence;
pub use options::DetectOptions;
pub use verdict::{Reason, Verdict};
