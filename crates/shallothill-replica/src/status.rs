//! The state of a replica for dumps and metrics.

use serde::Serialize;
use shallothill_core::ids::KeeperId;

use crate::durable::Standing;
use crate::entry::{LogPoint, Op, View};

/// `Role` is what a replica does in its view.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum Role {
    /// Follows a primary or waits for one.
    Backup,
    /// Asks for votes.
    Candidate,
    /// Orders the entries.
    Primary,
}

/// `ReplicaStatus` is a copy of the main figures of a replica.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ReplicaStatus {
    /// This replica.
    pub me: KeeperId,
    /// Whether it counts.
    pub standing: Standing,
    /// What it does.
    pub role: Role,
    /// Its view.
    pub view: View,
    /// The primary, as far as known.
    pub primary: Option<KeeperId>,
    /// The end of its log.
    pub last: LogPoint,
    /// The commit position that it knows.
    pub commit: Op,
    /// The members according to its log.
    pub members: Vec<KeeperId>,
    /// How many entries it holds in memory.
    pub entries_in_memory: usize,
}
