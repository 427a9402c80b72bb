//! The exit codes of `shallothill`.

use std::process::ExitCode;

/// `Exit` is the exit status of the command; the codes are a stable interface for scripts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// Code 0: the command succeeded.
    Ok,
    /// Code 1: the text has faults, conflicts with another change, or the requested version does
    /// not exist. Nothing changed.
    Refused,
    /// Code 2: the command line is not valid or a file that it names cannot be read. Nothing was
    /// sent.
    Usage,
    /// Code 3: no process answered, or the result is unknown.
    Unknown,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Ok => 0,
            Exit::Refused => 1,
            Exit::Usage => 2,
            Exit::Unknown => 3,
        })
    }
}
