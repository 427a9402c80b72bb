//! Entries of the log, and the views and positions that order them.

use std::fmt;

use serde::{Deserialize, Serialize};
use shallothill_core::ids::KeeperId;

use crate::bytes::Bytes;

/// `View` numbers the terms of the group; each view has at most one primary.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct View(pub u64);

impl View {
    /// `next` returns the view after this one.
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
    /// `next` returns the position after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// `prev` returns the position before this one, and 0 for 0.
    pub fn prev(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

impl fmt::Display for Op {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "op {}", self.0)
    }
}

/// `EntryId` identifies an entry by its view and position; no two different entries share both.
///
/// The ids of the last entries tell which of two logs is more complete. The derived order depends
/// on the order of the fields: first by view, then by position.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct EntryId {
    /// The view in which the entry was first proposed.
    pub view: View,
    /// The position of the entry.
    pub op: Op,
}

/// `RequestId` identifies a client's request across retries and replicas.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct RequestId(pub u128);

/// `Request` is a command that a client proposes for the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Request {
    /// The id that the client chose; a retry repeats it.
    pub id: RequestId,
    /// The serialized command of the keeper's state machine; the replica does not read it.
    pub payload: Bytes,
}

/// `Content` is the payload of an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Content {
    /// No operation; a new primary appends one to commit the entries of earlier views.
    #[serde(rename = "Nothing")]
    Noop,
    /// A client's request.
    Request(Request),
    /// A change of members; it takes effect when the entry is appended, committed or not.
    Members {
        /// The id of the request for the change.
        id: RequestId,
        /// All members after the change, sorted.
        members: Vec<KeeperId>,
    },
}

/// `Entry` is one record of the log; the position of the record is that of the entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// The view in which the entry was first proposed.
    pub view: View,
    /// The payload.
    pub content: Content,
}

impl Entry {
    /// `size` returns an upper bound on the encoded size in bytes.
    pub fn size(&self) -> usize {
        64 + match &self.content {
            Content::Noop | Content::Members { .. } => 64,
            Content::Request(r) => r.payload.len(),
        }
    }
}
