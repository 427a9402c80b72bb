//! Errors of settings and of the start of a node.

use snafu::Snafu;

/// `Error` is the reason why a node cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The settings file, logs, metrics, signals or a socket failed.
    #[snafu(transparent)]
    Runtime {
        /// The error of the runtime crate, which names the object.
        source: shallothill_runtime::Error,
    },
    /// A value of the settings is invalid or contradicts another one.
    #[snafu(display("the settings are not valid: {message}"))]
    Settings {
        /// What is wrong and how to correct it.
        message: String,
    },
}

/// `Result` is the result of loading settings or starting a node.
pub type Result<T, E = Error> = std::result::Result<T, E>;
