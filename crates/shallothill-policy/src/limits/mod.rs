//! Limits of callers: requests a second and requests at a time.

mod callers;
mod options;

pub use callers::{CallerLimits, Permit, Refused};
pub use options::LimitOptions;
