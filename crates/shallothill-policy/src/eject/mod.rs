//! Ejection and return of a backend server: verdicts, leases and trials.

mod ejector;
mod health;
mod options;

pub use ejector::Ejector;
pub use health::EndpointHealth;
pub use options::EjectOptions;
