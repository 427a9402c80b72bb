//! The node of the proxy fleet. Its entry takes callers' requests and picks backend servers; its
//! gate admits requests to the backend servers on its host.

pub mod announce;
pub mod attempt;
pub mod body;
pub mod config;
mod connection_limits;
pub mod control;
pub mod counters;
pub mod crashes;
pub mod currency;
mod dump;
pub mod entry;
pub mod errors;
pub mod gate;
pub mod head_memory;
mod header_filter;
pub mod interface;
pub mod listener;
pub mod neighbours;
pub mod node;
pub mod peer;
mod pipeline;
pub mod refusal;
pub mod reply_by;
pub mod request_reader;
pub mod settings;
mod shared_stream;
mod sockets;
pub mod unread_body;
mod view;

pub use errors::{Error, Result};
