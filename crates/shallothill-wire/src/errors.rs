//! Errors of calls between processes.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

/// `Error` is how a call to another process failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// No connection could be made.
    #[snafu(display("cannot connect to {address}: {source}; check that the process runs there"))]
    Connect {
        /// The other process.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The call had no answer in time, or the connection broke.
    #[snafu(display("the call to {address} failed: {source}; it may have been carried out"))]
    Call {
        /// The other process.
        address: SocketAddr,
        /// The cause.
        source: tarpc::client::RpcError,
    },
}

/// `Result` is the result of a call between processes.
pub type Result<T, E = Error> = std::result::Result<T, E>;
