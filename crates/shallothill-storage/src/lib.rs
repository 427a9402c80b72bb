//! The data folder: lock, checksummed log files and snapshots.
//!
//! Data is stored only once it is synced. A [`Log`] lists its files in a manifest that is replaced
//! atomically, so that a crash between two steps leaves either all old or all new files current.
//! A log is marked lost when it is created, or reset after damage, until its owner has recovered
//! the content from other replicas and calls [`Log::mark_repaired`]. A crash during the recovery
//! therefore never leaves an incomplete log that looks complete.

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
mod retrying_log;
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
pub use retrying_log::RetryingLog;
