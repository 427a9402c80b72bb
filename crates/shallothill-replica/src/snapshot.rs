//! Snapshots that stand for a prefix of the log.

use serde::{Deserialize, Serialize};
use shallothill_core::ids::KeeperId;

use crate::bytes::Bytes;
use crate::entry::LogPoint;

/// `SnapshotMeta` says which prefix of the log a snapshot stands for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotMeta {
    /// The last entry that the snapshot includes.
    pub last: LogPoint,
    /// The members after that entry.
    pub members: Vec<KeeperId>,
}

/// `Snapshot` is the whole state after a prefix of the log; drivers store it serialized.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// The prefix that the snapshot stands for.
    pub meta: SnapshotMeta,
    /// The opaque state of the keeper's state machine.
    pub state: Bytes,
}
