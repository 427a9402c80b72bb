//! Errors of the command.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

use crate::exit::Exit;

/// `Error` is why a command has no result.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A file cannot be read.
    #[snafu(display("cannot read `{path}`: {source}; check the name"))]
    ReadFile {
        /// The file.
        path: String,
        /// The cause.
        source: io::Error,
    },
    /// `submit` was called without a base version.
    #[snafu(display(
        "`submit` needs the version that the text is based on; get text and version with \
         `shallothill show`, edit that text, and submit it with `--base VERSION` (0 for the first)"
    ))]
    MissingBase,
    /// No address of a keeper is known.
    #[snafu(display(
        "no keeper is known; give the admin address of one or more with `--keeper IP:PORT` or in \
         {variable}"
    ))]
    NoKeepers {
        /// The environment variable that may list them.
        variable: &'static str,
    },
    /// The environment variable holds something else than addresses.
    #[snafu(display("`{value}` in {variable} is no address; write `ip:port,ip:port`"))]
    InvalidKeepers {
        /// The environment variable.
        variable: &'static str,
        /// The refused part.
        value: String,
    },
    /// An argument is not valid.
    #[snafu(display("{source}"))]
    InvalidArgument {
        /// The cause, with its remedy.
        source: shallothill_core::Error,
    },
    /// A process did not answer.
    #[snafu(display("{address} did not answer: {message}"))]
    NoAnswer {
        /// The process.
        address: SocketAddr,
        /// The cause.
        message: String,
    },
    /// No keeper answered.
    #[snafu(display(
        "no keeper answered within {seconds} s; check the addresses and the network ({causes})"
    ))]
    OutOfReach {
        /// How long it was tried.
        seconds: u64,
        /// What happened at each keeper, last.
        causes: String,
    },
    /// A submission may or may not have been accepted.
    #[snafu(display(
        "it is unknown whether the change was accepted; send the same text again with \
         `--base {base} --change-id {change_id}`, which never applies it twice ({causes})"
    ))]
    SubmissionUnknown {
        /// The base version of the change.
        base: u64,
        /// The id of the change.
        change_id: String,
        /// What happened at each keeper, last.
        causes: String,
    },
}

impl Error {
    /// `exit` returns how the command ends with this error.
    pub fn exit(&self) -> Exit {
        match self {
            Self::ReadFile { .. }
            | Self::MissingBase
            | Self::NoKeepers { .. }
            | Self::InvalidKeepers { .. }
            | Self::InvalidArgument { .. } => Exit::Usage,
            Self::NoAnswer { .. } | Self::OutOfReach { .. } | Self::SubmissionUnknown { .. } => {
                Exit::Unknown
            }
        }
    }
}

/// `Result` is the result of the commands.
pub type Result<T, E = Error> = std::result::Result<T, E>;
