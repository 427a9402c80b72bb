//! The keeper's member of its region's ledger group, with a durable log.

mod command;
mod journal;
mod recover;
mod service;

pub use journal::{Journal, LOG_NAME};
pub use recover::{first_incarnation, run as recover};
pub use service::{LedgerHandle, LedgerState};
