//! Changes of the directory since a cursor.

use serde::{Deserialize, Serialize};
use shallothill_core::ids::{KeeperId, NodeName};
use shallothill_core::incarnation::Incarnation;

use crate::cursor::Cursor;
use crate::entry::Liveness;
use crate::report::NodeReport;

/// `DirectoryChange` carries the latest state of one node that has changed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DirectoryChange {
    /// A node is present with this report.
    Present {
        /// The latest report.
        report: NodeReport,
        /// The keeper that received the report from the node itself.
        via: KeeperId,
        /// Whether the node's reports still arrive.
        #[serde(rename = "contact")]
        liveness: Liveness,
    },
    /// A node left or was removed; reports up to this incarnation and sequence number are late.
    Removed {
        /// The name of the removed node.
        node: NodeName,
        /// The node's last incarnation.
        incarnation: Incarnation,
        /// The sequence number of its last report.
        sequence: u64,
        /// The keeper to which the silent node reported last, or `None` when the node itself left.
        #[serde(rename = "silent_by")]
        timed_out_via: Option<KeeperId>,
    },
}

/// `Delta` holds changes for a reader and the cursor to continue from.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delta {
    /// Whether the changes are the complete directory, so that the reader drops everything else.
    pub full: bool,
    /// The changes, oldest first.
    pub changes: Vec<DirectoryChange>,
    /// The reader's position once it has applied the changes.
    pub cursor: Cursor,
}
