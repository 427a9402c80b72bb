//! Recognition of the calls that backend servers make while they run a request.

mod running;

pub use running::{RunningKey, RunningRequests};
