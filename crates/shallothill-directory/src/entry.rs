//! A node as one keeper knows it.

use serde::{Deserialize, Serialize};
use shallothill_core::ids::KeeperId;
use shallothill_core::time::Millis;

use crate::report::NodeReport;

/// `Liveness` tells whether a node's reports still arrive.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Liveness {
    /// Reports arrive.
    #[serde(rename = "heard")]
    Reporting,
    /// No report has arrived lately; entry nodes pick the node's backend servers last.
    #[serde(rename = "unheard")]
    Silent,
}

/// `NodeEntry` is a node's latest report with where and when it was heard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeEntry {
    /// The latest report.
    pub report: NodeReport,
    /// The keeper that heard it from the node itself.
    pub via: KeeperId,
    /// Whether reports still arrive.
    #[serde(rename = "contact")]
    pub liveness: Liveness,
    /// When this keeper heard of the node last, by its own clock.
    #[serde(skip)]
    pub last_heard_at: Millis,
    /// This keeper's number of the entry's last change.
    #[serde(skip)]
    pub change: u64,
}
