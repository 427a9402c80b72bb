//! Changes of the directory since a cursor.

use serde::{Deserialize, Serialize};
use shallothill_core::ids::{KeeperId, NodeName};
use shallothill_core::incarnation::Incarnation;

use crate::cursor::Cursor;
use crate::entry::Liveness;
use crate::report::NodeReport;

/// `DirectoryChange` is one change of the directory.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DirectoryChange {
    /// A node is present with this report.
    Present {
        /// The latest report.
        report: NodeReport,
        /// The keeper that heard it from the node itself.
        via: KeeperId,
        /// Whether reports still arrive.
        #[serde(rename = "contact")]
        liveness: Liveness,
    },
    /// A node left or was removed; reports up to this order are late ones.
    Removed {
        /// The node.
        node: NodeName,
        /// Its last incarnation.
        incarnation: Incarnation,
        /// Its last sequence number.
        sequence: u64,
        /// The keeper that removed the node for its silence, or `None` when the node left.
        #[serde(rename = "silent_by")]
        timed_out_by: Option<KeeperId>,
    },
}

/// `Delta` is a list of changes and the cursor that the reader has after them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delta {
    /// Whether the changes are the whole directory, and everything else is to be dropped.
    pub full: bool,
    /// The changes, oldest first.
    pub changes: Vec<DirectoryChange>,
    /// The position after the changes.
    pub cursor: Cursor,
}
