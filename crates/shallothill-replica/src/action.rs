//! What a replica asks its driver to do.

use shallothill_core::ids::KeeperId;

use crate::durable::HardState;
use crate::entry::{Entry, Op, RequestId};
use crate::event::{ReadToken, SyncToken};
use crate::message::Message;
use crate::snapshot::{Snapshot, SnapshotMeta};

/// `ProposeResult` is the answer to a proposed request or change of members.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProposeResult {
    /// The entry is committed; its `Apply` came before this reply.
    Committed(Op),
    /// This replica is not the primary; nothing was done.
    NotPrimary {
        /// The primary, as far as known.
        primary: Option<KeeperId>,
    },
    /// Too many entries wait, another change of members is under way, or too few of the new
    /// members answer; nothing was done.
    Busy,
    /// The request is too large or the change touches more than one member; nothing was done.
    Refused,
    /// The replica stopped being primary; the entry may be committed. Resend with the same id.
    Unknown,
}

/// `Action` is carried out by the driver in the order given.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Append these entries to the log; the first gets position `first`.
    Append {
        /// The position of the first entry.
        first: Op,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// Drop all entries after this position from the log.
    Truncate {
        /// The last position that stays.
        after: Op,
    },
    /// Save this state in place of the last one.
    SaveState(HardState),
    /// Make everything before this action durable, then report `Synced`.
    Sync(SyncToken),
    /// Send a message; it may be lost, repeated or overtaken.
    Send {
        /// The receiver.
        to: KeeperId,
        /// The message.
        msg: Message,
    },
    /// Apply a committed entry to the state machine. Entries come in order, each once per start.
    Apply {
        /// The position.
        op: Op,
        /// The entry.
        entry: Entry,
    },
    /// Replace the state machine and the log with this snapshot, durably at the next `Sync`. A
    /// `Truncate` follows when entries after it do not belong to it.
    InstallSnapshot(Snapshot),
    /// Store a snapshot of the state machine as it is now, then report `SnapshotTaken`.
    TakeSnapshot(SnapshotMeta),
    /// Answer a proposed request.
    Reply {
        /// The id of the request.
        request: RequestId,
        /// The answer.
        result: ProposeResult,
    },
    /// The applied state is current: a read of it now is linearizable.
    ReadReady {
        /// The driver's name of the read.
        token: ReadToken,
    },
    /// This replica cannot serve the read.
    ReadRefused {
        /// The driver's name of the read.
        token: ReadToken,
        /// The primary, as far as known.
        primary: Option<KeeperId>,
    },
}
