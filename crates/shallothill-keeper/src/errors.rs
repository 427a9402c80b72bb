//! Errors that prevent a keeper from starting or continuing.

use std::path::PathBuf;

use snafu::Snafu;

/// `Error` tells why a keeper cannot start or continue.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The settings contradict themselves.
    #[snafu(display("the settings are not valid: {message}"))]
    Settings {
        /// The fault and its remedy.
        message: String,
    },
    /// An error of the runtime: the settings file, logs, signals or a listener.
    #[snafu(display("{source}"), context(false))]
    Runtime {
        /// The cause.
        source: shallothill_runtime::Error,
    },
    /// The data folder cannot be used.
    #[snafu(display("{source}"), context(false))]
    Storage {
        /// The cause.
        source: shallothill_storage::Error,
    },
    /// The replica of the config log cannot be built.
    #[snafu(display("{source}"), context(false))]
    Replica {
        /// The cause.
        source: shallothill_replica::Error,
    },
    /// The ledger member cannot be built.
    #[snafu(display("{source}"), context(false))]
    Ledger {
        /// The cause.
        source: shallothill_ledger::Error,
    },
    /// The keeper cannot continue safely.
    #[snafu(display("{message}"))]
    Fatal {
        /// The cause and its remedy.
        message: String,
    },
    /// The bound address of a listener cannot be read.
    #[snafu(display("the address of a listener cannot be read: {source}; start the keeper again"))]
    Address {
        /// The cause.
        source: std::io::Error,
    },
    /// A durable record cannot be read.
    #[snafu(display(
        "{what} in `{}` cannot be read: {message}; move the data folder away and start again, so \
         that the keeper recovers from the others", path.display()
    ))]
    Decode {
        /// The kind of record.
        what: &'static str,
        /// The data folder.
        path: PathBuf,
        /// The cause.
        message: String,
    },
}

/// `Result` is the result of the keeper's fallible functions.
pub type Result<T, E = Error> = std::result::Result<T, E>;
