//! The state that a directory keeps for a present or removed node.

use shallothill_core::ids::KeeperId;
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::Millis;

use crate::entry::{Liveness, NodeEntry};

/// `TrackedNode` is a present node with the state that decides when it is removed.
#[derive(Clone, Debug)]
pub(crate) struct TrackedNode {
    pub(crate) entry: NodeEntry,
    /// The liveness according to the keeper to which the node reports.
    pub(crate) reported_liveness: Liveness,
    /// Since when the keeper to which the node reported no longer lists it.
    pub(crate) unlisted_since: Option<Millis>,
}

/// `Tombstone` keeps the order of a removed node's last report, so that late ones are ignored.
#[derive(Clone, Debug)]
pub(crate) struct Tombstone {
    pub(crate) order: (Incarnation, u64),
    /// The keeper to which the silent node reported last, or `None` when the node itself left.
    pub(crate) timed_out_via: Option<KeeperId>,
    pub(crate) removed_at: Millis,
    pub(crate) change: u64,
}
