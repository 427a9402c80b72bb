//! A replicated log as a pure state machine.
//!
//! A [`Replica`] takes a time and an [`Event`] and returns [`Action`]s. It performs no I/O and
//! reads no clock. The driver carries the actions out in order. After an [`Action::Sync`] it makes
//! everything before it durable and reports [`Event::Synced`]; only that event releases messages
//! that rely on durability, so nothing is acknowledged before it is on disk. A failed sync ends
//! the process.
//!
//! What the driver keeps, with `shallothill-storage`:
//!
//! - `Append`, `Truncate` and snapshots go to one log whose positions equal the [`Op`]s.
//! - `SaveState` goes to a durable cell. A state with [`Standing::Whole`] also clears the log's
//!   mark "lost", before the cell is written.
//! - At a start, [`Durable`] holds what was read. If the log is marked lost or damaged, or the cell
//!   is missing, the driver resets the log and passes [`Durable::lost`].
//!
//! A group is created once by an operator, who sets [`ReplicaOptions::create_group`] at every
//! initial member. A member becomes whole as part of a new group only after every other initial
//! member confirmed that it is new as well, or that it counted exactly this life of the member
//! when the group was formed. A member whose disk was lost has another incarnation, so it recovers
//! even when the option is still set. Without the option an empty folder always recovers.

mod action;
mod bytes;
mod durable;
mod entry;
mod errors;
mod event;
mod message;
mod options;
mod replica;
mod snapshot;
mod status;

pub use action::{Action, ProposeResult};
pub use bytes::Bytes;
pub use durable::{Durable, HardState, Standing};
pub use entry::{Content, Entry, LogPoint, Op, Request, RequestId, View};
pub use errors::{Error, Result};
pub use event::{Event, ReadToken, SyncToken};
pub use message::{AppendOutcome, Message, RecoverySummary};
pub use options::{ElectionRule, ReplicaOptions};
pub use replica::Replica;
pub use snapshot::{Snapshot, SnapshotMeta};
pub use status::{ReplicaStatus, Role};
