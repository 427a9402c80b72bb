//! Limits of callers: requests per second and concurrent requests.

mod callers;
mod options;

pub use callers::{CallerLimits, OverLimit, Permit};
pub use options::LimitOptions;
