//! Ejection of a backend server under a lease, and its return to service after trials.

mod ejector;
mod health;
mod options;

pub use ejector::Ejector;
pub use health::EndpointHealth;
pub use options::EjectOptions;
