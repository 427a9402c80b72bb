//! The status of a replica for dumps and metrics.

use serde::Serialize;
use shallothill_core::ids::KeeperId;

use crate::durable::MemberState;
use crate::entry::{EntryId, Op, View};

/// `Role` is the part of a replica in its view.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum Role {
    /// Follows a primary or waits for one.
    Backup,
    /// Collects votes or pre-votes.
    Candidate,
    /// Assigns positions to new entries and replicates them.
    Primary,
}

/// `ReplicaStatus` is a copy of a replica's main state.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ReplicaStatus {
    /// The id of this replica.
    pub me: KeeperId,
    /// Whether its disk holds everything that it acknowledged.
    #[serde(rename = "standing")]
    pub member_state: MemberState,
    /// Its part in the view.
    pub role: Role,
    /// The highest view that it takes part in.
    pub view: View,
    /// The primary that it follows, or itself; `None` while it follows none.
    pub primary: Option<KeeperId>,
    /// The last entry of its log.
    pub last: EntryId,
    /// The highest position that it knows to be committed.
    pub commit: Op,
    /// The members according to its log, committed or not.
    pub members: Vec<KeeperId>,
    /// The number of entries that it holds in memory.
    pub entries_in_memory: usize,
}
