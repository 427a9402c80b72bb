//! Messages between processes and the RPC services that carry them.

pub mod channel;
pub mod control;
pub mod crash;
pub mod credit;
pub mod departures;
pub mod errors;
pub mod frame_codec;
pub mod frame_meter;
pub mod keeper_info;
pub mod operator;
pub mod received_bytes;
pub mod report;
pub mod transport;
pub mod watch;

pub use errors::{Error, Result};
