//! Process plumbing: settings, logs, metrics, timers, the admin endpoint and graceful shutdown.

pub mod admin;
pub mod clock;
pub mod errors;
pub mod logs;
pub mod metrics;
pub mod settings;
pub mod shutdown;
pub mod timer;

pub use errors::{Error, Result};
