//! Errors of the fixtures.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use snafu::Snafu;

/// `Error` is why a fixture failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A process could not be started.
    #[snafu(display("cannot start `{program}`: {source}; build it first"))]
    Spawn {
        /// The program.
        program: String,
        /// The cause.
        source: io::Error,
    },
    /// A process did not print its `ready` line.
    #[snafu(display("`{program}` was not ready within {waited:?}; see its log"))]
    NotReady {
        /// The program.
        program: String,
        /// How long it was waited for.
        waited: Duration,
    },
    /// A process did not end.
    #[snafu(display("`{program}` did not end within {waited:?}; see its log"))]
    NotEnded {
        /// The program.
        program: String,
        /// How long it was waited for.
        waited: Duration,
    },
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {address}: {source}; choose another address"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// A file cannot be read or written.
    #[snafu(display("cannot use the file `{path}`: {source}"))]
    File {
        /// The file.
        path: String,
        /// The cause.
        source: io::Error,
    },
    /// An HTTP request had no complete answer.
    #[snafu(display("no complete answer from {address}: {message}"))]
    Http {
        /// The other process.
        address: SocketAddr,
        /// The cause.
        message: String,
    },
    /// A condition did not become true.
    #[snafu(display("{what} did not happen within {waited:?}"))]
    Condition {
        /// What was waited for.
        what: String,
        /// How long it was waited for.
        waited: Duration,
    },
}

/// `Result` is the result of the fixtures.
pub type Result<T, E = Error> = std::result::Result<T, E>;
