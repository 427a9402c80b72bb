//! Errors of RPC calls between processes.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

/// `Error` is a failure of an RPC call to another process.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// No connection could be opened, so the call was not sent.
    #[snafu(display("cannot connect to {address}: {source}; check that the process runs there"))]
    Connect {
        /// The address of the called process.
        address: SocketAddr,
        /// The underlying error.
        source: io::Error,
    },
    /// The call had no reply before its deadline, the connection broke, or the server rejected the
    /// call.
    #[snafu(display("the call to {address} failed: {source}; it may have been carried out"))]
    Call {
        /// The address of the called process.
        address: SocketAddr,
        /// The underlying error.
        source: tarpc::client::RpcError,
    },
}

/// `Result` is the result of an RPC call between processes.
pub type Result<T, E = Error> = std::result::Result<T, E>;
