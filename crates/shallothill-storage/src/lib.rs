//! The data folder: lock, checksummed log files and snapshots.
