//! Errors of the data folder.

use std::io;
use std::path::PathBuf;

use shallothill_core::ids::KeeperId;
use snafu::Snafu;

/// `Error` is how an operation on a data folder failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// Another process uses the folder.
    #[snafu(display(
        "the data folder `{}` is locked by another keeper; stop it or choose another `data_dir`",
        path.display()
    ))]
    Locked {
        /// The folder.
        path: PathBuf,
    },
    /// The folder belongs to another keeper.
    #[snafu(display(
        "the data folder `{}` belongs to keeper {found}, not to {expected}; \
         correct `id` or `data_dir` in the settings",
        path.display()
    ))]
    OtherKeeper {
        /// The folder.
        path: PathBuf,
        /// The keeper in the identity file.
        found: KeeperId,
        /// The keeper in the settings.
        expected: KeeperId,
    },
    /// The folder was written in another format.
    #[snafu(display(
        "the data folder `{}` has format {found}, this program reads format {expected}; \
         run the release that wrote it, or start with an empty `data_dir` to recover from the \
         other keepers",
        path.display()
    ))]
    OtherFormat {
        /// The folder.
        path: PathBuf,
        /// The format in the identity file.
        found: u32,
        /// The format of this program.
        expected: u32,
    },
    /// A file that was synced is missing or holds other bytes now.
    #[snafu(display(
        "`{}` is damaged ({what}); its content counts as lost: reset it, or start with an empty \
         `data_dir`, to recover from the other keepers",
        path.display()
    ))]
    Damaged {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        what: String,
    },
    /// The disk has no space left.
    #[snafu(display(
        "the disk is full, cannot write `{}`; free some space and start the keeper again",
        path.display()
    ))]
    DiskFull {
        /// The file.
        path: PathBuf,
    },
    /// The operating system could not make a file durable.
    #[snafu(display(
        "cannot sync `{}`: {source}; end the process, check the disk, then start it again",
        path.display()
    ))]
    SyncFailed {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// An earlier write or sync failed, so the state of the file is not known.
    #[snafu(display(
        "the log `{name}` accepts nothing after a failed write or sync; restart the keeper"
    ))]
    LogFailed {
        /// The log.
        name: String,
    },
    /// A record is too large.
    #[snafu(display("a record of {size} bytes is over the limit of {limit}; send a smaller one"))]
    TooLarge {
        /// The size.
        size: usize,
        /// The limit.
        limit: usize,
    },
    /// A position lies outside the log.
    #[snafu(display(
        "position {position} is not in the log `{name}`, which holds {first} to {last}; \
         use one of these"
    ))]
    OutOfRange {
        /// The log.
        name: String,
        /// The position asked for.
        position: u64,
        /// The lowest position that may be given.
        first: u64,
        /// The last position.
        last: u64,
    },
    /// A value cannot be written as bytes.
    #[snafu(display("cannot encode the cell `{name}`: {source}; report this as a fault"))]
    Encode {
        /// The cell.
        name: String,
        /// The cause.
        source: rmp_serde::encode::Error,
    },
    /// Any other failure of a file operation.
    #[snafu(display(
        "cannot {action} `{}`: {source}; check the disk and the rights of the folder",
        path.display()
    ))]
    File {
        /// The operation.
        action: &'static str,
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
}

impl Error {
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

    pub(crate) fn damaged(path: &std::path::Path, what: impl Into<String>) -> Self {
        Self::Damaged {
            path: path.to_path_buf(),
            what: what.into(),
        }
    }
}

/// `Result` is the result of an operation on a data folder.
pub type Result<T, E = Error> = std::result::Result<T, E>;
