//! A replicated log as a pure state machine.
//!
//! A [`Replica`] takes a time and an [`Event`] and returns [`Action`]s. It performs no I/O and
//! reads no clock. The driver performs the actions in order. After an [`Action::Sync`] it makes
//! everything before it durable and reports [`Event::Synced`]. Only that event releases messages
//! that rely on durability, so nothing is acknowledged before it is on disk. A failed sync ends
//! the process.
//!
//! The driver stores, with `shallothill-storage`:
//!
//! - `Append`, `Truncate` and snapshots in one log, whose positions equal the [`Op`]s.
//! - `SaveState` in a durable cell. For a state with [`MemberState::Complete`], the driver first
//!   clears the log's mark "lost", and then writes the cell.
//! - At a start, the driver restores its state machine from the log's snapshot and passes what it
//!   read through [`DurableState::from_disk`]. For a damaged log or cell it resets the log and
//!   passes [`DurableState::lost`].
//!
//! An operator creates a group once, and sets [`ReplicaOptions::create_group`] at every initial
//! member. An initial member becomes complete only after every other initial member confirmed
//! either that it is new as well, or that the group was formed with exactly this incarnation of
//! the member. A member whose disk was lost has another incarnation, so it recovers even if the
//! option is still set. Without the option, a member with an empty folder always recovers.
//!
//! Recovery needs answers from a majority of the group, not counting the recovering member, so a
//! group of one or two cannot replace a lost disk. If a disk is lost before a majority formed the
//! group, nothing was accepted yet; the operator empties the folders and creates the group again.
//!
//! A new member starts with an empty folder and recovers as a learner. [`Event::ChangeMembers`]
//! adds it once it holds the log. The id of a removed member must not be used again.

mod action;
mod backup;
mod ballot;
mod bytes;
mod durable;
mod election;
mod entry;
mod errors;
mod event;
mod log_fields;
mod membership;
mod memory_log;
mod message;
mod options;
mod outbox;
mod peer;
mod primary_state;
mod reads;
mod recovery;
mod replica;
mod replication;
mod snapshot;
mod state_transfer;
mod status;

pub use action::{Action, ProposeResult};
pub use bytes::Bytes;
pub use durable::{DurableState, HardState, MemberState};
pub use entry::{Content, Entry, EntryId, Op, Request, RequestId, View};
pub use errors::{Error, Result};
pub use event::{Event, ReadToken, SyncToken};
pub use message::{AppendOutcome, Message, RecoverySummary};
#[doc(hidden)]
pub use options::ProtocolFaults;
pub use options::{ElectionRule, ReplicaOptions};
pub use replica::Replica;
pub use snapshot::{Snapshot, SnapshotMeta};
pub use status::{ReplicaStatus, Role};
