//! What a log held when it was opened.

use crate::position::Position;

/// `RestoredSnapshot` is the last snapshot of a log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RestoredSnapshot {
    /// The last position that the snapshot stands for.
    pub position: Position,
    /// The bytes given to `snapshot`.
    pub bytes: Vec<u8>,
}

/// `RestoredRecord` is one record of a log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RestoredRecord {
    /// The position of the record.
    pub position: Position,
    /// The bytes given to `append`.
    pub bytes: Vec<u8>,
}

/// `RestoredLog` is what a log held when it was opened.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RestoredLog {
    /// The last snapshot.
    pub snapshot: Option<RestoredSnapshot>,
    /// The records after the snapshot, without gaps.
    pub records: Vec<RestoredRecord>,
    /// The number of bytes of an incomplete last record that were cut off.
    pub torn_bytes: u64,
}
