//! The state that a replica keeps on disk.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use shallothill_core::ids::KeeperId;
use shallothill_core::incarnation::Incarnation;

use crate::entry::{Entry, View};
use crate::snapshot::Snapshot;

/// `MemberState` tells whether a replica's disk holds everything that the replica ever
/// acknowledged, and so whether the replica may vote and acknowledge entries.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MemberState {
    /// The disk is empty and the replica waits for the other initial members of a new group.
    Forming,
    /// The disk was lost, or is new to a running group. The replica fetches the log from other
    /// members; until it has done so, it neither votes nor acknowledges.
    #[serde(rename = "Lost")]
    Recovering,
    /// The disk holds everything that the replica acknowledged; the replica votes and
    /// acknowledges.
    #[serde(rename = "Whole")]
    Complete,
}

/// `HardState` is the state beside the log that a replica saves before it sends an answer that
/// depends on it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// The highest view that the replica takes part in.
    pub view: View,
    /// The candidate that has the replica's vote in `view`.
    pub voted_for: Option<KeeperId>,
    /// Whether the disk holds everything that the replica acknowledged.
    #[serde(rename = "standing")]
    pub member_state: MemberState,
    /// The incarnation of this replica's disk; it rises when the disk is lost.
    pub incarnation: Incarnation,
    /// The highest incarnation recorded for each other member's disk.
    #[serde(rename = "known")]
    pub known_incarnations: BTreeMap<KeeperId, Incarnation>,
    /// The members before the first entry of the log; entries change them later.
    pub first_members: Vec<KeeperId>,
}

/// `DurableState` is what the driver reads from disk at a start.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DurableState {
    /// The last saved state; `None` means that the disk was lost.
    pub hard_state: Option<HardState>,
    /// The last snapshot; `None` if the replica took or received none yet.
    pub snapshot: Option<Snapshot>,
    /// The entries that follow the snapshot, or the start of the log, without a gap.
    pub entries: Vec<Entry>,
}

impl DurableState {
    /// `lost` returns the state of an empty or damaged data folder.
    pub fn lost() -> Self {
        Self::default()
    }

    /// `from_disk` returns the state of a data folder that was read without errors.
    ///
    /// `log_is_lost` is the mark "lost" in the log itself. Without a hard state, or when the mark
    /// contradicts it, the result is [`DurableState::lost`]. When the result has no `hard_state`,
    /// the driver must reset the log.
    pub fn from_disk(
        hard_state: Option<HardState>,
        log_is_lost: bool,
        snapshot: Option<Snapshot>,
        entries: Vec<Entry>,
    ) -> Self {
        let complete = hard_state
            .as_ref()
            .map(|h| h.member_state == MemberState::Complete);
        if complete.is_none_or(|complete| complete == log_is_lost) {
            return Self::lost();
        }
        Self {
            hard_state,
            snapshot,
            entries,
        }
    }
}
