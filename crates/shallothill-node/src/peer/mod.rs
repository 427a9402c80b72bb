//! Communication between nodes over one shared HTTP/2 connection to each peer.

mod codec;
mod link;
mod links;
mod server;

pub use codec::{RouteRules, read_attempt, read_reply, write_attempt, write_reply};
pub use link::{LinkError, PeerLink};
pub use links::PeerLinks;
pub use server::PeerServer;
