//! A position in a keeper's sequence of directory changes.

use serde::{Deserialize, Serialize};
use shallothill_core::ids::KeeperId;
use shallothill_core::incarnation::Incarnation;

/// `Cursor` is how far a reader has followed one keeper's directory.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Cursor {
    /// The keeper.
    pub keeper: KeeperId,
    /// The life of the keeper's process; its change numbers start again with each.
    pub incarnation: Incarnation,
    /// The last change that the reader has applied.
    pub change: u64,
}
