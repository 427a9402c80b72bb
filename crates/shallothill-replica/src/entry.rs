//! Entries of the log and the numbers that order them.

use std::fmt;

use serde::{Deserialize, Serialize};
use shallothill_core::ids::KeeperId;

use crate::bytes::Bytes;

/// `View` numbers the periods of the group; each has at most one primary.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct View(pub u64);

impl View {
    /// `next` returns the following view.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for View {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "view {}", self.0)
    }
}

/// `Op` is the position of an entry in the log; the first entry is 1, and 0 means none.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Op(pub u64);

impl Op {
    /// `next` returns the following position.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// `prev` returns the position before, 0 for 0.
    pub fn prev(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

impl fmt::Display for Op {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "op {}", self.0)
    }
}

/// `LogPoint` tells how complete a log is: the view of its last entry, then its position.
///
/// The order of the fields is the order by which logs are compared.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct LogPoint {
    /// The view in which the entry was first proposed.
    pub view: View,
    /// The position of the entry.
    pub op: Op,
}

/// `RequestId` identifies a client's request across resends and replicas.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct RequestId(pub u128);

/// `Request` is what a client asks to be put into the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Request {
    /// The client's id of the request.
    pub id: RequestId,
    /// The opaque command of the keeper's state machine.
    pub payload: Bytes,
}

/// `Content` is what an entry carries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Content {
    /// Nothing; a new primary writes one to commit the entries of earlier views.
    Nothing,
    /// A client's request.
    Request(Request),
    /// The new members, sorted; in force from this entry on.
    Members {
        /// The request that asked for the change.
        id: RequestId,
        /// All members after the change.
        members: Vec<KeeperId>,
    },
}

/// `Entry` is one record of the log; its position is that of the record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// The view in which the entry was first proposed.
    pub view: View,
    /// What the entry carries.
    pub content: Content,
}

impl Entry {
    /// `size` returns an upper estimate of the encoded size in bytes.
    pub fn size(&self) -> usize {
        64 + match &self.content {
            Content::Nothing | Content::Members { .. } => 64,
            Content::Request(r) => r.payload.len(),
        }
    }
}
