//! Errors that prevent a process from starting.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use snafu::Snafu;

/// `Error` tells why a process cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The settings file cannot be read.
    #[snafu(display("cannot read the settings file `{}`: {source}; check --settings", path.display()))]
    ReadSettings {
        /// The path of the settings file.
        path: PathBuf,
        /// The error of the file system.
        source: io::Error,
    },
    /// The settings file is not valid YAML, or has unknown or missing fields.
    #[snafu(display("the settings file `{}` is not valid: {message}", path.display()))]
    InvalidSettings {
        /// The path of the settings file.
        path: PathBuf,
        /// The error of the YAML parser, with line and column if it gives them.
        message: String,
    },
    /// A listener cannot be bound to its address.
    #[snafu(display(
        "cannot listen on {address} for {purpose}: {source}; stop the process that uses it or \
         choose another address in the settings"
    ))]
    Bind {
        /// The address from the settings.
        address: SocketAddr,
        /// Who or what connects to the address, such as `operators`.
        purpose: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The logging subscriber cannot be installed.
    #[snafu(display("cannot set up logging: {message}; start the process only once"))]
    InitLogging {
        /// The error of the logging library.
        message: String,
    },
    /// The local socket for metrics cannot be opened.
    #[snafu(display("cannot send metrics to {address}: {message}; check `metrics_address`"))]
    MetricsSocket {
        /// The address of the statsd server.
        address: SocketAddr,
        /// The error of the socket.
        message: String,
    },
    /// The handlers of SIGTERM and SIGINT cannot be installed.
    #[snafu(display(
        "cannot install signal handlers: {source}; check the resource limits of the process"
    ))]
    InstallSignalHandlers {
        /// The error of the operating system.
        source: io::Error,
    },
}

/// `Result` has this crate's [`enum@Error`] by default.
pub type Result<T, E = Error> = std::result::Result<T, E>;
