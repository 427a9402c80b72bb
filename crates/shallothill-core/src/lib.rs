//! Types that all other crates share: identifiers, the configuration model, outcomes and errors.

pub mod class;
pub mod config;
pub mod errors;
pub mod hash;
pub mod headers;
pub mod health;
pub mod idempotency;
pub mod ids;
pub mod incarnation;
pub mod outcome;
pub mod sections;
pub mod time;
pub mod version;

pub use errors::{Error, Result};
