//! Communication between nodes over one shared HTTP/2 connection to each peer.

mod attempt_id;
pub mod attempt_table;
mod codec;
mod link;
mod links;
mod question;
mod running_attempts;
mod server;

pub use attempt_id::{AttemptId, ProcessId};
pub use codec::{
    RouteRules, read_attempt, read_entry, read_reply, write_attempt, write_entry, write_reply,
};
pub use link::{LinkError, PeerLink};
pub use links::PeerLinks;
pub use question::{Question, read_question, read_reply_limit, write_question, write_reply_limit};
pub(crate) use running_attempts::NOT_ARRIVED_REASON;
pub use running_attempts::RunningAttempts;
pub use server::PeerServer;
