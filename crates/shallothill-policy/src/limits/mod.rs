//! Limits of callers: requests a second and requests at a time.

mod callers;
mod options;

pub use callers::{CallerLimits, OverLimit, Permit};
pub use options::LimitOptions;
