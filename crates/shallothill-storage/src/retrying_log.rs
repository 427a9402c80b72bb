//! A log that continues once a full disk has space again.

use std::fmt;

use crate::disk_files::DiskFiles;
use crate::errors;
use crate::errors::{Error, Result};
use crate::files::FileOps;
use crate::folder::DataFolder;
use crate::position::Position;
use crate::record_log::Log;

/// `RetryingLog` repeats operations that fail because the disk is full.
///
/// A [`Log`] rejects all operations after a failed write, because the content of its files is then
/// unknown. A full disk loses nothing that was synced, so the log is opened again, and the records
/// that were not synced are appended once more. No operation is reported as done before it is.
pub struct RetryingLog<F: FileOps = DiskFiles> {
    folder: DataFolder<F>,
    name: String,
    log: Log<F>,
    unsynced: Vec<(Position, Vec<u8>)>,
}

impl<F: FileOps> fmt::Debug for RetryingLog<F> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RetryingLog")
            .field("name", &self.name)
            .field("unsynced", &self.unsynced.len())
            .finish_non_exhaustive()
    }
}

impl<F: FileOps> RetryingLog<F> {
    /// `new` wraps the log `name` of `folder`.
    pub fn new(folder: DataFolder<F>, name: &str, log: Log<F>) -> Self {
        Self {
            folder,
            name: name.to_owned(),
            log,
            unsynced: Vec::new(),
        }
    }

    /// `log` returns the log.
    pub fn log(&self) -> &Log<F> {
        &self.log
    }

    /// `append` adds a record, which is durable after a sync in [`Self::run`].
    ///
    /// Fails like [`Log::append`].
    pub fn append(&mut self, bytes: Vec<u8>) -> Result<Position> {
        let position = self.log.append(&bytes)?;
        self.unsynced.push((position, bytes));
        Ok(position)
    }

    /// `run` runs an operation on the folder and the log until it does not fail with `DiskFull`.
    /// The operation may have been done in part before, and `pause` is called before each retry.
    ///
    /// Fails with any other error of the operation or of opening the log.
    pub fn run<T>(
        &mut self,
        pause: impl Fn(&Error),
        mut operation: impl FnMut(&DataFolder<F>, &mut Log<F>) -> Result<T>,
    ) -> Result<T> {
        loop {
            let result = operation(&self.folder, &mut self.log);
            match result {
                Err(e) if e.is_disk_full() => self.reopen(e, &pause)?,
                result => {
                    if self.log.synced_position() == self.log.last_position() {
                        self.unsynced.clear();
                    }
                    return result;
                }
            }
        }
    }

    fn reopen(&mut self, cause: Error, pause: &impl Fn(&Error)) -> Result<()> {
        let mut cause = cause;
        loop {
            pause(&cause);
            match Log::try_open(&self.folder, &self.name) {
                Ok((log, _)) => {
                    self.log = log;
                    return self.append_unsynced();
                }
                Err(e) if e.is_disk_full() => cause = e,
                Err(e) => return Err(e),
            }
        }
    }

    // Some of the records may have reached the disk before it was full.
    fn append_unsynced(&mut self) -> Result<()> {
        for (position, bytes) in &self.unsynced {
            if *position <= self.log.last_position() {
                continue;
            }
            let appended_at = self.log.append(bytes)?;
            if appended_at != *position {
                return errors::LogFailedSnafu { name: &self.name }.fail();
            }
        }
        Ok(())
    }
}
