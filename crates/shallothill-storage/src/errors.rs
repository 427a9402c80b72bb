//! Errors of the data folder.

use std::io;
use std::path::PathBuf;

use shallothill_core::ids::KeeperId;
use snafu::Snafu;

/// `Error` is a failure of an operation on a data folder or on its logs.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// Another process holds the lock of the folder.
    #[snafu(display(
        "the data folder `{}` is locked by another keeper; stop it or choose another `data_dir`",
        path.display()
    ))]
    Locked {
        /// The path of the data folder.
        path: PathBuf,
    },
    /// The folder belongs to another keeper.
    #[snafu(display(
        "the data folder `{}` belongs to keeper {found}, not to {expected}; \
         correct `id` or `data_dir` in the settings",
        path.display()
    ))]
    OtherKeeper {
        /// The path of the data folder.
        path: PathBuf,
        /// The keeper in the identity file.
        found: KeeperId,
        /// The keeper in the settings.
        expected: KeeperId,
    },
    /// The folder was written by a release with another format version.
    #[snafu(display(
        "the data folder `{}` has format {found}, this release reads format {expected}; \
         run the release that wrote it, or start with an empty `data_dir` to recover from the \
         other keepers",
        path.display()
    ))]
    OtherFormat {
        /// The path of the data folder.
        path: PathBuf,
        /// The format version in the identity file.
        found: u32,
        /// The format version of this release.
        expected: u32,
    },
    /// A synced file is missing or its content has changed.
    #[snafu(display(
        "`{}` is damaged ({reason}); its content is lost: reset it, or start with an empty \
         `data_dir`, to recover from the other keepers",
        path.display()
    ))]
    Damaged {
        /// The path of the file.
        path: PathBuf,
        /// The check that the file failed, worded to follow the path.
        reason: String,
    },
    /// The disk has no space left.
    #[snafu(display(
        "the disk is full, cannot write `{}`; free some space",
        path.display()
    ))]
    DiskFull {
        /// The path of the file.
        path: PathBuf,
    },
    /// The operating system could not make a file durable.
    #[snafu(display(
        "cannot sync `{}`: {source}; end the process, check the disk, then start it again",
        path.display()
    ))]
    SyncFailed {
        /// The path of the file.
        path: PathBuf,
        /// The underlying error.
        source: io::Error,
    },
    /// An earlier operation on the log failed, so the content of its files is unknown.
    #[snafu(display(
        "the log `{name}` rejects all operations after a failed write or sync; restart the keeper"
    ))]
    LogFailed {
        /// The name of the log.
        name: String,
    },
    /// A record exceeds `max_record_bytes` of the folder's options.
    #[snafu(display(
        "a record of {size} bytes exceeds the limit of {limit} bytes; send a smaller one"
    ))]
    TooLarge {
        /// The size of the record in bytes.
        size: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// A log cannot be truncated at a position outside of it.
    #[snafu(display(
        "position {position} is not in the log `{name}`, which holds {first} to {last}; \
         use a position in this range"
    ))]
    OutOfRange {
        /// The name of the log.
        name: String,
        /// The requested position.
        position: u64,
        /// The lowest accepted position.
        first: u64,
        /// The last position in the log.
        last: u64,
    },
    /// The value of a cell cannot be serialized.
    #[snafu(display("cannot encode the cell `{name}`: {source}; report this as a bug"))]
    Encode {
        /// The name of the cell.
        name: String,
        /// The underlying error.
        source: rmp_serde::encode::Error,
    },
    /// Any other failure of a file operation.
    #[snafu(display(
        "cannot {action} `{}`: {source}; check the disk and the permissions of the folder",
        path.display()
    ))]
    File {
        /// The operation, such as `read`.
        action: &'static str,
        /// The path of the file.
        path: PathBuf,
        /// The underlying error.
        source: io::Error,
    },
}

impl Error {
    /// `is_disk_full` tells whether the operation can succeed once the disk has space again.
    pub fn is_disk_full(&self) -> bool {
        matches!(self, Self::DiskFull { .. })
    }

    pub(crate) fn file(action: &'static str, path: &std::path::Path, source: io::Error) -> Self {
        let path = path.to_path_buf();
        if source.kind() == io::ErrorKind::StorageFull {
            return Self::DiskFull { path };
        }
        Self::File {
            action,
            path,
            source,
        }
    }

    pub(crate) fn damaged(path: &std::path::Path, reason: impl Into<String>) -> Self {
        Self::Damaged {
            path: path.to_path_buf(),
            reason: reason.into(),
        }
    }
}

/// `Result` is the result of an operation on a data folder.
pub type Result<T, E = Error> = std::result::Result<T, E>;
