//! Options of a data folder.

use shallothill_core::ids::KeeperId;

/// `FolderOptions` holds the owner of a data folder and the limits of its logs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FolderOptions {
    /// The keeper that the folder belongs to.
    pub keeper: KeeperId,
    /// The size in bytes at which a log starts another segment.
    pub segment_bytes: u64,
    /// The size in bytes of the largest record that a log accepts.
    pub max_record_bytes: usize,
}

impl Default for FolderOptions {
    fn default() -> Self {
        Self {
            keeper: KeeperId(0),
            segment_bytes: 8 * 1024 * 1024,
            max_record_bytes: 8 * 1024 * 1024,
        }
    }
}
