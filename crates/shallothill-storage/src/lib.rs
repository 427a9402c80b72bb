//! The data folder: lock, checksummed log files and snapshots.
//!
//! Nothing counts as stored before it is synced. A [`Log`] names its files in a manifest that is
//! replaced atomically, so a crash between two steps leaves either the old or the new files in
//! force. A log is marked lost from its creation, or its reset after damage, until its owner calls
//! [`Log::mark_repaired`]; a crash during a repair therefore never makes it count.

mod cell;
mod disk_files;
mod errors;
mod files;
mod folder;
mod inspect;
mod manifest;
mod options;
mod position;
mod record;
mod record_log;
mod restored;
mod segment;
mod snapshot;

pub use disk_files::DiskFiles;
pub use errors::{Error, Result};
pub use files::FileOps;
pub use folder::DataFolder;
pub use inspect::{FolderSummary, LogSummary, inspect, inspect_with};
pub use options::FolderOptions;
pub use position::Position;
pub use record_log::Log;
pub use restored::{RestoredLog, RestoredRecord, RestoredSnapshot};
