//! The content of a log at the time it was opened.

use crate::position::Position;

/// `RestoredSnapshot` is the last snapshot of a log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RestoredSnapshot {
    /// The last position that the snapshot covers.
    pub position: Position,
    /// The bytes passed to [`crate::Log::snapshot`].
    pub bytes: Vec<u8>,
}

/// `RestoredRecord` is one record of a log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RestoredRecord {
    /// The position of the record.
    pub position: Position,
    /// The bytes passed to [`crate::Log::append`].
    pub bytes: Vec<u8>,
}

/// `RestoredLog` is the content of a log at the time it was opened.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RestoredLog {
    /// The last snapshot.
    pub snapshot: Option<RestoredSnapshot>,
    /// The records after the snapshot, without gaps.
    pub records: Vec<RestoredRecord>,
    /// The size in bytes of a torn record at the end, which was removed.
    pub torn_bytes: u64,
}
