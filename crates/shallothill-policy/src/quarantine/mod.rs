//! Requests that crash backend servers.

mod answers;
mod options;
mod store;

pub use options::QuarantineOptions;
pub use store::{CrashId, FingerprintStatus, Quarantine, QuarantineDecision};
