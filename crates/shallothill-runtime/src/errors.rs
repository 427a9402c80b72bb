//! Errors at the start of a process.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use snafu::Snafu;

/// `Error` is why a process cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The settings file cannot be read.
    #[snafu(display("cannot read the settings file `{}`: {source}; check --settings", path.display()))]
    ReadSettings {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The settings file is not valid.
    #[snafu(display("the settings file `{}` is not valid: {message}", path.display()))]
    InvalidSettings {
        /// The file.
        path: PathBuf,
        /// What is wrong, with line and column when known.
        message: String,
    },
    /// An address cannot be listened on.
    #[snafu(display(
        "cannot listen on {address} for {purpose}: {source}; stop the process that uses it or \
         choose another address in the settings"
    ))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the address is for.
        purpose: &'static str,
        /// The cause.
        source: io::Error,
    },
    /// Logs cannot be set up.
    #[snafu(display("cannot set up logging: {message}; start the process only once"))]
    InitLogging {
        /// The cause.
        message: String,
    },
    /// Metrics cannot be sent.
    #[snafu(display("cannot send metrics to {address}: {message}; check `metrics_address`"))]
    MetricsSocket {
        /// The statsd server.
        address: SocketAddr,
        /// The cause.
        message: String,
    },
    /// Signals cannot be handled.
    #[snafu(display("cannot handle signals: {source}; check the limits of the process"))]
    InstallSignalHandlers {
        /// The cause.
        source: io::Error,
    },
}

/// `Result` is the result of the functions that start a process.
pub type Result<T, E = Error> = std::result::Result<T, E>;
