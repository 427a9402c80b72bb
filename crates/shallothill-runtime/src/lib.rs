//! Process infrastructure: settings, logging, metrics, timers, admin endpoint and shutdown.

pub mod admin;
pub mod clock;
pub mod errors;
pub mod json;
pub mod logs;
pub mod memory;
pub mod metrics;
pub mod settings;
pub mod shutdown;
pub mod suspensions;
pub mod timer;

pub use errors::{Error, Result};
