//! Messages between replicas.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use shallothill_core::ids::KeeperId;
use shallothill_core::incarnation::Incarnation;

use crate::bytes::Bytes;
use crate::durable::MemberState;
use crate::entry::{Entry, EntryId, Op, View};
use crate::snapshot::SnapshotMeta;

/// `AppendOutcome` is the result of an `Append`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AppendOutcome {
    /// The log matches the primary's up to this position and is durable up to it.
    Matches(Op),
    /// The entry before the batch is missing or differs; the primary has to continue after this
    /// position or an earlier one.
    Behind(Op),
}

/// `RecoverySummary` describes the sender of a `RecoverReply` to a replica that forms a group or
/// recovers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecoverySummary {
    /// Whether the sender's data is complete, or the sender itself forms a group or recovers.
    #[serde(rename = "standing")]
    pub member_state: MemberState,
    /// The highest view that the sender takes part in.
    pub view: View,
    /// The last entry of the sender's log.
    pub last: EntryId,
    /// The members according to the sender's log.
    pub members: Vec<KeeperId>,
    /// The members before the first entry of the sender's log.
    pub first_members: Vec<KeeperId>,
}

/// `Message` is a message between replicas; with the default options, each fits into 1 MB.
///
/// Answers that count towards a majority carry the incarnation of the sender's disk and the
/// incarnations that it recorded for the others, so that no replica counts an answer from a disk
/// that has been lost since.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Asks whether the receiver would vote in `view`; the receiver's state does not change.
    PreVote {
        /// The view that the sender would start.
        view: View,
        /// The last entry of the sender's log.
        last: EntryId,
    },
    /// Answers `PreVote`.
    PreVoteReply {
        /// The view of the request.
        view: View,
        /// Whether the sender would vote for the receiver.
        granted: bool,
        /// The highest view that the sender takes part in.
        current: View,
    },
    /// Asks for a vote in `view`.
    Vote {
        /// The view that the sender starts.
        view: View,
        /// The last entry of the sender's log.
        last: EntryId,
    },
    /// Grants a vote; with [`crate::ElectionRule::Rotation`] it goes to the view's primary.
    VoteReply {
        /// The view that the vote is for.
        view: View,
        /// The last entry of the sender's log.
        last: EntryId,
        /// The incarnation of the sender's disk.
        incarnation: Incarnation,
        /// The highest incarnations that the sender recorded for the other members' disks.
        #[serde(rename = "known")]
        known_incarnations: BTreeMap<KeeperId, Incarnation>,
    },
    /// Carries entries and the commit position from the primary; without entries, a heartbeat.
    Append {
        /// The primary's view.
        view: View,
        /// The number of the primary's heartbeat round; the answer repeats it.
        round: u64,
        /// The entry that precedes the batch.
        prev: EntryId,
        /// The batch; empty in a heartbeat.
        entries: Vec<Entry>,
        /// The highest position that the primary knows to be committed.
        commit: Op,
    },
    /// Answers `Append`.
    AppendReply {
        /// The view of the primary.
        view: View,
        /// The round of the `Append`.
        round: u64,
        /// Whether the entries were accepted.
        outcome: AppendOutcome,
        /// The incarnation of the sender's disk.
        incarnation: Incarnation,
        /// The highest incarnations that the sender recorded for the other members' disks.
        #[serde(rename = "known")]
        known_incarnations: BTreeMap<KeeperId, Incarnation>,
    },
    /// Tells a replica in a lower view about a higher one.
    HigherView {
        /// The sender's view.
        view: View,
    },
    /// Tells a complete replica that its answers do not count, because a higher incarnation of its
    /// disk is recorded. That happens after a late message of an incarnation that never became
    /// complete.
    #[serde(rename = "NewerLife")]
    NewerIncarnation {
        /// The highest incarnation that is recorded for the receiver's disk.
        highest: Incarnation,
    },
    /// Tells a lagging replica that the entries that it needs are available only as a snapshot.
    SnapshotOffer {
        /// The primary's view.
        view: View,
        /// The prefix of the log that the snapshot replaces.
        meta: SnapshotMeta,
    },
    /// Requests the entries after `after`, or a chunk of a snapshot if the receiver no longer
    /// holds them.
    Fetch {
        /// The entry of the sender's log that the transfer continues after.
        after: EntryId,
        /// The last entry of the snapshot in transfer, and the number of bytes already received.
        snapshot: Option<(EntryId, u64)>,
    },
    /// Answers `Fetch` with entries.
    FetchedEntries {
        /// The sender's view.
        view: View,
        /// The entry that precedes the batch, as in the request; `None` if the sender's log does
        /// not contain it.
        prev: Option<EntryId>,
        /// The batch; empty if the sender has no further entries.
        entries: Vec<Entry>,
        /// The last entry of the sender's log.
        last: EntryId,
    },
    /// Answers `Fetch` with a chunk of a snapshot.
    FetchedChunk {
        /// The sender's view.
        view: View,
        /// The prefix of the log that the snapshot replaces.
        meta: SnapshotMeta,
        /// The offset of the chunk in the state, in bytes.
        offset: u64,
        /// The size of the complete state, in bytes.
        total: u64,
        /// The bytes of the chunk.
        piece: Bytes,
    },
    /// Requests the data for a recovery, or the forming of a new group.
    Recover {
        /// The new incarnation of the sender's disk; it also serves as the nonce of the request.
        incarnation: Incarnation,
        /// Whether the sender forms a new group.
        forming: bool,
    },
    /// Answers `Recover`, once the new incarnation is durable at the sender.
    RecoverReply {
        /// The incarnation of the request.
        nonce: Incarnation,
        /// The highest incarnation that the sender recorded for the receiver's disk.
        highest: Incarnation,
        /// The incarnation of the sender's disk.
        incarnation: Incarnation,
        /// The highest incarnations that the sender recorded for the other members' disks.
        #[serde(rename = "known")]
        known_incarnations: BTreeMap<KeeperId, Incarnation>,
        /// The state of the sender and of its log.
        summary: RecoverySummary,
    },
}
