//! Test support, not used in production: a stand-in backend server, a TCP relay that simulates
//! network partitions, and fixtures for child processes, ports and settings.

mod announcer;
pub mod behaviour;
pub mod builders;
pub mod credit;
pub mod errors;
pub mod http;
pub mod options;
pub mod ports;
pub mod process;
pub mod record;
pub mod relay;
pub mod request;
mod server;
pub mod standin;
pub mod tally;

pub use errors::{Error, Result};
