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
//! - At a start, the driver restores its state machine from the log's snapshot and passes what it
//!   read through [`Durable::restored`]. For a damaged log or cell it resets the log and passes
//!   [`Durable::lost`].
//!
//! A group is created once by an operator, who sets [`ReplicaOptions::create_group`] at every
//! initial member. A member becomes whole as part of a new group only after every other initial
//! member confirmed that it is new as well, or that it counted exactly this life of the member
//! when the group was formed. A member whose disk was lost has another incarnation, so it recovers
//! even when the option is still set. Without the option an empty folder always recovers.
//!
//! Recovery needs a majority of the whole group besides the recovering member, so a group of one or
//! two cannot replace a lost disk. If a disk is lost before a majority formed the group, nothing
//! was accepted yet; the operator empties the folders and creates the group again.
//!
//! A new member starts with an empty folder and recovers as a learner. [`Event::ChangeMembers`]
//! adds it once it holds the log. The number of a removed member is not used again.

mod action;
mod backup;
mod ballot;
mod bytes;
mod durable;
mod election;
mod entry;
mod errors;
mod event;
mod fetch;
mod leading;
mod logs;
mod membership;
mod memory_log;
mod message;
mod options;
mod outbox;
mod peer;
mod reads;
mod recovery;
mod replica;
mod replication;
mod snapshot;
mod status;

pub use action::{Action, ProposeResult};
pub use bytes::Bytes;
pub use durable::{Durable, HardState, Standing};
pub use entry::{Content, Entry, LogPoint, Op, Request, RequestId, View};
pub use errors::{Error, Result};
pub use event::{Event, ReadToken, SyncToken};
pub use message::{AppendOutcome, Message, RecoverySummary};
#[doc(hidden)]
pub use options::Broken;
pub use options::{ElectionRule, ReplicaOptions};
pub use replica::Replica;
pub use snapshot::{Snapshot, SnapshotMeta};
pub use status::{ReplicaStatus, Role};
