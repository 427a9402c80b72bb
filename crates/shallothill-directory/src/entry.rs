//! The directory entry of a node at one keeper.

use serde::{Deserialize, Serialize};
use shallothill_core::ids::KeeperId;
use shallothill_core::time::Millis;

use crate::report::NodeReport;

/// `Liveness` tells whether a node's reports still arrive.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Liveness {
    /// Reports arrive as expected.
    #[serde(rename = "heard")]
    Reporting,
    /// No report has arrived for a while; entry nodes pick the node's backend servers last.
    #[serde(rename = "unheard")]
    Silent,
}

/// `NodeEntry` holds a node's latest report, the keeper that received it and the time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeEntry {
    /// The report with the highest incarnation and sequence number.
    pub report: NodeReport,
    /// The keeper that received the report from the node itself.
    pub via: KeeperId,
    /// Whether the node's reports still arrive.
    #[serde(rename = "contact")]
    pub liveness: Liveness,
    /// When this keeper last received a report of the node, directly or from another keeper, by
    /// its own clock.
    #[serde(skip)]
    pub last_heard_at: Millis,
    /// The change number at this keeper of the entry's last change.
    #[serde(skip)]
    pub change: u64,
}
