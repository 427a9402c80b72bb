//! Errors of the commands.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

use crate::exit::Exit;

/// `Error` tells why a command has no result.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The text file or standard input cannot be read.
    #[snafu(display("cannot read `{path}`: {source}; check the file name"))]
    ReadFile {
        /// The path as given, `-` for standard input.
        path: String,
        /// The error of the file system.
        source: io::Error,
    },
    /// `submit` was called without a base version.
    #[snafu(display(
        "`submit` needs the version that the text is based on; get text and version with \
         `shallothill show`, edit that text, and submit it with `--base VERSION` (0 for the first)"
    ))]
    MissingBase,
    /// No keeper address is configured.
    #[snafu(display(
        "no keeper address is configured; give the admin address of one or more keepers with \
         `--keeper IP:PORT` or in {variable}"
    ))]
    NoKeepers {
        /// The environment variable that may list the addresses.
        variable: &'static str,
    },
    /// The environment variable contains an invalid address.
    #[snafu(display("`{value}` in {variable} is not a valid address; write `ip:port,ip:port`"))]
    InvalidKeeperAddress {
        /// The environment variable that lists the addresses.
        variable: &'static str,
        /// The part of the list that is not an address.
        value: String,
    },
    /// An argument is not valid.
    #[snafu(display("{source}"))]
    InvalidArgument {
        /// The cause; its message includes the remedy.
        source: shallothill_core::Error,
    },
    /// A process did not answer, or its answer was not valid.
    #[snafu(display("{address} did not answer: {message}"))]
    NoAnswer {
        /// The admin address of the process.
        address: SocketAddr,
        /// What failed.
        message: String,
    },
    /// No keeper answered within the timeout.
    #[snafu(display(
        "no keeper answered within {seconds} s; check the addresses and the network ({causes})"
    ))]
    KeepersUnreachable {
        /// The timeout of the command.
        seconds: u64,
        /// The last failure of each keeper.
        causes: String,
    },
    /// No keeper confirmed a submission; it may or may not have been accepted.
    #[snafu(display(
        "it is unknown whether the change was accepted; send the same text again with \
         `--base {base} --change-id {change_id}`, which never applies it twice ({causes})"
    ))]
    SubmissionResultUnknown {
        /// The base version of the change.
        base: u64,
        /// The id of the change, with which it can be submitted again.
        change_id: String,
        /// The last failure of each keeper.
        causes: String,
    },
}

impl Error {
    /// `exit` returns the exit status for this error.
    pub fn exit(&self) -> Exit {
        match self {
            Self::ReadFile { .. }
            | Self::MissingBase
            | Self::NoKeepers { .. }
            | Self::InvalidKeeperAddress { .. }
            | Self::InvalidArgument { .. } => Exit::Usage,
            Self::NoAnswer { .. }
            | Self::KeepersUnreachable { .. }
            | Self::SubmissionResultUnknown { .. } => Exit::Unknown,
        }
    }
}

/// `Result` has this crate's [`enum@Error`] by default.
pub type Result<T, E = Error> = std::result::Result<T, E>;
