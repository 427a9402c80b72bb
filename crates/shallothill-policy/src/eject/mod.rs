//! Ejection and return of a backend server: verdicts, leases and trials.

mod ejector;
mod options;

pub use ejector::Ejector;
pub use options::EjectOptions;
