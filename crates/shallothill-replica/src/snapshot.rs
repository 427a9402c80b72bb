//! Snapshots that replace a prefix of the log.

use serde::{Deserialize, Serialize};
use shallothill_core::ids::KeeperId;

use crate::bytes::Bytes;
use crate::entry::EntryId;

/// `SnapshotMeta` describes the prefix of the log that a snapshot replaces.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotMeta {
    /// The last entry that the snapshot includes.
    pub last: EntryId,
    /// The members after `last`.
    pub members: Vec<KeeperId>,
}

/// `Snapshot` is the complete state after a prefix of the log; drivers store it serialized.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// The prefix that the snapshot replaces.
    pub meta: SnapshotMeta,
    /// The serialized state machine of the keeper; the replica does not read it.
    pub state: Bytes,
}
