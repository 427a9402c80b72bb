//! What a directory keeps for one node.

use shallothill_core::ids::KeeperId;
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::Millis;

use crate::entry::{Liveness, NodeEntry};

/// `TrackedNode` is a present node with what decides on its removal.
#[derive(Clone, Debug)]
pub(crate) struct TrackedNode {
    pub(crate) entry: NodeEntry,
    /// The liveness as the keeper states it that hears the node.
    pub(crate) reported_liveness: Liveness,
    /// Since when the keeper that heard the node does not list it any more.
    pub(crate) unlisted_since: Option<Millis>,
}

/// `Tombstone` keeps the order of a removed node's last report, so that late ones are ignored.
#[derive(Clone, Debug)]
pub(crate) struct Tombstone {
    pub(crate) order: (Incarnation, u64),
    /// The keeper that removed the node for its silence, or `None` when the node left.
    pub(crate) timed_out_by: Option<KeeperId>,
    pub(crate) since: Millis,
    pub(crate) change: u64,
}
