//! Exit codes of the command.

use std::process::ExitCode;

/// `Exit` is how the command ends; scripts may rely on the codes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// Code 0: done.
    Ok,
    /// Code 1: the text has faults, conflicts with another change, or what was asked for does not
    /// exist. Nothing changed.
    Refused,
    /// Code 2: the command line or a file that it names is not usable. Nothing was sent.
    Usage,
    /// Code 3: no keeper could be reached, or the result is unknown.
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
