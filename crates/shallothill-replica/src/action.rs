//! The actions that a replica requests from its driver.

use shallothill_core::ids::KeeperId;

use crate::durable::HardState;
use crate::entry::{Entry, Op, RequestId};
use crate::event::{ReadToken, SyncToken};
use crate::message::Message;
use crate::snapshot::{Snapshot, SnapshotMeta};

/// `ProposeResult` is the reply to a proposed request or to a change of members.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProposeResult {
    /// The entry is committed at this position; the action `Apply` precedes this reply.
    Committed(Op),
    /// This replica is not the primary, and the request had no effect.
    NotPrimary {
        /// The primary that this replica follows; `None` while it follows none.
        primary: Option<KeeperId>,
    },
    /// The request had no effect: too many entries are uncommitted or in memory, another change
    /// of members is in progress, or too few of the new members answer. A retry may succeed.
    Busy,
    /// The request had no effect and a retry cannot succeed: its payload is too large, the change
    /// adds or removes more than one member, or the new group would be empty or too large.
    Refused,
    /// The replica stopped being the primary; the entry may or may not become committed. Resend
    /// the request with the same id.
    Unknown,
}

/// `Action` is a step that the driver has to perform; actions are performed in the order given.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Append entries to the log.
    Append {
        /// The position of the first entry.
        first: Op,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// Remove all entries after a position from the log.
    Truncate {
        /// The last position that stays.
        after: Op,
    },
    /// Replace the saved hard state.
    SaveState(HardState),
    /// Make everything before this action durable, then report `Synced`.
    Sync(SyncToken),
    /// Send a message; it may be lost, duplicated or reordered.
    Send {
        /// The receiver.
        to: KeeperId,
        /// The message.
        msg: Message,
    },
    /// Apply a committed entry to the state machine. Entries come in log order, each once per start
    /// of the process.
    Apply {
        /// The position of the entry.
        op: Op,
        /// The entry.
        entry: Entry,
    },
    /// Replace the state machine and the prefix of the log with a snapshot, durably at the next
    /// `Sync`. A `Truncate` follows if the log holds entries after the snapshot that do not
    /// continue it.
    InstallSnapshot(Snapshot),
    /// Store a snapshot of the current state machine, then report `SnapshotTaken`.
    TakeSnapshot(SnapshotMeta),
    /// Answer a proposed request or a change of members.
    Reply {
        /// The id of the request.
        request: RequestId,
        /// The outcome of the request.
        result: ProposeResult,
    },
    /// Answer a read from the state as applied now; such a read is linearizable.
    ReadReady {
        /// The token that the driver chose for the read.
        token: ReadToken,
    },
    /// Reject a read that this replica cannot serve.
    ReadRefused {
        /// The token that the driver chose for the read.
        token: ReadToken,
        /// The primary that this replica follows; `None` while it follows none.
        primary: Option<KeeperId>,
    },
}
