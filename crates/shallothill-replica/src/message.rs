//! Messages between replicas.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use shallothill_core::ids::KeeperId;
use shallothill_core::incarnation::Incarnation;

use crate::bytes::Bytes;
use crate::durable::Standing;
use crate::entry::{Entry, LogPoint, Op, View};
use crate::snapshot::SnapshotMeta;

/// `AppendOutcome` is what a replica did with an `Append`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AppendOutcome {
    /// The log equals the primary's up to this position, and is durable up to it.
    Matches(Op),
    /// The entry before the batch is missing or differs; go on after this position at the latest.
    Behind(Op),
}

/// `RecoverySummary` is what a whole replica tells one that lost its disk.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecoverySummary {
    /// Whether the sender counts, or is itself new.
    pub standing: Standing,
    /// The sender's view.
    pub view: View,
    /// The end of the sender's log.
    pub last: LogPoint,
    /// The members according to the sender's log.
    pub members: Vec<KeeperId>,
    /// The members before the first entry of the log.
    pub first_members: Vec<KeeperId>,
}

/// `Message` is one message from a replica to another; each fits 1 MB with the default options.
///
/// Answers that count towards a majority carry the sender's incarnation and those it knows of the
/// others, so that nobody counts an answer that a lost disk gave.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Asks whether the receiver would vote in `view`; changes nothing.
    PreVote {
        /// The view that the sender would start.
        view: View,
        /// The end of the sender's log.
        last: LogPoint,
    },
    /// Answers `PreVote`.
    PreVoteReply {
        /// The view asked about.
        view: View,
        /// Whether the sender would vote.
        granted: bool,
        /// The sender's own view.
        current: View,
    },
    /// Asks for a vote in `view`.
    Vote {
        /// The view that the sender starts.
        view: View,
        /// The end of the sender's log.
        last: LogPoint,
    },
    /// Grants a vote; with [`crate::ElectionRule::Rotation`] it goes to the view's primary.
    VoteReply {
        /// The view voted in.
        view: View,
        /// The end of the sender's log.
        last: LogPoint,
        /// The life of the sender's disk.
        incarnation: Incarnation,
        /// The lives of the others' disks that the sender knows.
        known: BTreeMap<KeeperId, Incarnation>,
    },
    /// Carries entries, a heartbeat and the commit position from the primary.
    Append {
        /// The primary's view.
        view: View,
        /// The number of the primary's round; answers repeat it.
        round: u64,
        /// The entry before the batch.
        prev: LogPoint,
        /// The batch, possibly empty.
        entries: Vec<Entry>,
        /// The primary's commit position.
        commit: Op,
    },
    /// Answers `Append`.
    AppendReply {
        /// The view of the primary.
        view: View,
        /// The round answered.
        round: u64,
        /// What was done.
        outcome: AppendOutcome,
        /// The life of the sender's disk.
        incarnation: Incarnation,
        /// The lives of the others' disks that the sender knows.
        known: BTreeMap<KeeperId, Incarnation>,
    },
    /// Tells a sender with a lower view about the higher one.
    HigherView {
        /// The sender's view.
        view: View,
    },
    /// Tells a whole replica that its answers do not count, because a higher life of its disk is
    /// known: a late message of a life that never became whole was recorded.
    NewerLife {
        /// The highest life of the receiver's disk that the sender knows.
        highest: Incarnation,
    },
    /// Tells a lagging replica that the entries it needs are only in a snapshot.
    SnapshotOffer {
        /// The primary's view.
        view: View,
        /// What the snapshot stands for.
        meta: SnapshotMeta,
    },
    /// Asks for what follows the receiver's log, by the most suitable means.
    Fetch {
        /// The end of the log of the asking replica.
        after: LogPoint,
        /// The snapshot being fetched and the bytes already received of it.
        snapshot: Option<(LogPoint, u64)>,
    },
    /// Answers `Fetch` with entries.
    FetchedEntries {
        /// The sender's view.
        view: View,
        /// The entry before the batch, which the asking replica has; `None` when the sender does
        /// not hold the end of the asking replica's log.
        prev: Option<LogPoint>,
        /// The batch.
        entries: Vec<Entry>,
        /// The end of the sender's log.
        last: LogPoint,
    },
    /// Answers `Fetch` with a piece of a snapshot.
    FetchedChunk {
        /// The sender's view.
        view: View,
        /// What the snapshot stands for.
        meta: SnapshotMeta,
        /// The place of the piece.
        offset: u64,
        /// The size of the whole state.
        total: u64,
        /// The piece.
        piece: Bytes,
    },
    /// Asks for recovery, or to form a new group.
    Recover {
        /// The new life of the sender's disk, also the nonce.
        incarnation: Incarnation,
        /// Whether the sender forms a new group.
        forming: bool,
    },
    /// Answers `Recover`, after the new incarnation is durable.
    RecoverReply {
        /// The incarnation of the request.
        nonce: Incarnation,
        /// The highest incarnation of the asking replica that the sender knows.
        highest: Incarnation,
        /// The life of the sender's disk.
        incarnation: Incarnation,
        /// The lives of the others' disks that the sender knows.
        known: BTreeMap<KeeperId, Incarnation>,
        /// The state of the sender.
        summary: RecoverySummary,
    },
}
