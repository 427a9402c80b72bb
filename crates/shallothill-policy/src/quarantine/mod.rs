//! Quarantine of requests that crash backend servers.

mod answer_times;
mod options;
mod store;

pub use options::QuarantineOptions;
pub use store::{CrashId, FingerprintStatus, Quarantine, QuarantineDecision};
