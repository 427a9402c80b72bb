//! Errors of the test fixtures.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use snafu::Snafu;

/// `Error` is a failure of a test fixture, not of the system under test.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A process could not be started, for example because its binary is missing.
    #[snafu(display("cannot start `{program}`: {source}; build it first"))]
    Spawn {
        /// The program name or path.
        program: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A process did not print its `ready` line in time, or it ended before.
    #[snafu(display("`{program}` was not ready within {waited:?}; see its log"))]
    NotReady {
        /// The program name or path.
        program: String,
        /// The timeout.
        waited: Duration,
    },
    /// A process did not exit after SIGTERM.
    #[snafu(display("`{program}` did not end within {waited:?}; see its log"))]
    NotEnded {
        /// The program name or path.
        program: String,
        /// The timeout.
        waited: Duration,
    },
    /// A listener cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}; choose another address"))]
    Listen {
        /// The address to bind.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A file cannot be read or written.
    #[snafu(display("cannot read or write the file `{path}`: {source}"))]
    File {
        /// The path of the file.
        path: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// An HTTP request had no complete answer.
    #[snafu(display("no complete answer from {address}: {message}"))]
    Http {
        /// The address of the server.
        address: SocketAddr,
        /// The cause, such as a timeout or a closed connection.
        message: String,
    },
    /// A condition did not become true in time.
    #[snafu(display("{what} did not happen within {waited:?}"))]
    Condition {
        /// The awaited event.
        what: String,
        /// The timeout.
        waited: Duration,
    },
}

/// `Result` defaults to the [`Error`] of the fixtures.
pub type Result<T, E = Error> = std::result::Result<T, E>;
