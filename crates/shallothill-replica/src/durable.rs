//! What a replica keeps on disk.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use shallothill_core::ids::KeeperId;
use shallothill_core::incarnation::Incarnation;

use crate::entry::{Entry, View};
use crate::snapshot::Snapshot;

/// `Standing` tells whether a replica's disk holds all that the replica ever acknowledged.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Standing {
    /// The replica waits for the other initial members of a new group.
    Forming,
    /// The disk was lost; the replica neither votes nor acknowledges.
    Lost,
    /// The replica counts.
    Whole,
}

/// `HardState` is the small state that a replica saves before it answers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// The highest view that the replica takes part in.
    pub view: View,
    /// The candidate that has the replica's vote in `view`.
    pub voted_for: Option<KeeperId>,
    /// Whether the replica counts.
    pub standing: Standing,
    /// The life of this replica's disk.
    pub incarnation: Incarnation,
    /// The lives of the other members' disks, as far as known.
    pub known: BTreeMap<KeeperId, Incarnation>,
    /// The members before the first entry of the log.
    pub first_members: Vec<KeeperId>,
}

/// `Durable` is what the driver read from disk at a start.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Durable {
    /// The last saved state; without it the disk counts as lost.
    pub hard: Option<HardState>,
    /// The last snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries that follow the snapshot, or the start of the log, without a gap.
    pub entries: Vec<Entry>,
}

impl Durable {
    /// `lost` returns what to pass for an empty or damaged data folder.
    pub fn lost() -> Self {
        Self::default()
    }

    /// `restored` returns what to pass for a data folder that was read without faults.
    ///
    /// `log_is_lost` is the log's own mark. Without a state, or when the mark contradicts it, the
    /// result is [`Durable::lost`]; when its `hard` is `None`, the driver resets the log.
    pub fn restored(
        hard: Option<HardState>,
        log_is_lost: bool,
        snapshot: Option<Snapshot>,
        entries: Vec<Entry>,
    ) -> Self {
        let whole = hard.as_ref().map(|h| h.standing == Standing::Whole);
        if whole.is_none_or(|whole| whole == log_is_lost) {
            return Self::lost();
        }
        Self {
            hard,
            snapshot,
            entries,
        }
    }
}
