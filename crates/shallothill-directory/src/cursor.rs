//! A position in a keeper's sequence of directory changes.

use serde::{Deserialize, Serialize};
use shallothill_core::ids::KeeperId;
use shallothill_core::incarnation::Incarnation;

/// `Cursor` tells how far a reader has followed one keeper's directory.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Cursor {
    /// The keeper whose changes are counted.
    pub keeper: KeeperId,
    /// The incarnation of the keeper's process; change numbers start again at 1 with each.
    pub incarnation: Incarnation,
    /// Number of the last change that the reader has applied.
    pub change: u64,
}
