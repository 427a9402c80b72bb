//! Errors at the start of a node.

use snafu::Snafu;

/// `Error` is why a node cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The process plumbing failed.
    #[snafu(transparent)]
    Runtime {
        /// The cause.
        source: shallothill_runtime::Error,
    },
    /// Values of the settings do not fit together.
    #[snafu(display("the settings are not valid: {message}"))]
    Settings {
        /// What is wrong and what to do.
        message: String,
    },
}

/// `Result` is the result of starting a node.
pub type Result<T, E = Error> = std::result::Result<T, E>;
