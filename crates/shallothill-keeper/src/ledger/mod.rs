//! The keeper's member of its region's ledger group, with a durable log.

mod command;
mod journal;
mod service;

pub use journal::{Journal, NoJournal};
pub use service::{LedgerHandle, LedgerState};
