//! The outcome of an attempt, and whether it allows a retry.

use std::fmt;
use std::str;

use serde::{Deserialize, Serialize};

use crate::errors;

/// `Outcome` is the result of one attempt of a request. Only the outcome and whether the request
/// is idempotent decide whether a retry is allowed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A backend server executed the request, and its response is being forwarded.
    Answered,
    /// The request was not executed: no byte of it was written to a backend server's socket.
    RefusedNotRun,
    /// A backend server received the request and failed.
    RanAndFailed,
    /// It is unknown whether a backend server executed the request.
    Unknown,
}

impl Outcome {
    /// `as_str` returns the value of the outcome header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::RefusedNotRun => "refused-not-run",
            Self::RanAndFailed => "ran-and-failed",
            Self::Unknown => "unknown",
        }
    }

    /// `allows_retry` tells whether another attempt may be sent after this outcome.
    ///
    /// A non-idempotent request is retried only when it certainly was not executed.
    pub fn allows_retry(self, idempotent: bool) -> bool {
        match self {
            Self::Answered => false,
            Self::RefusedNotRun => true,
            Self::RanAndFailed | Self::Unknown => idempotent,
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl str::FromStr for Outcome {
    type Err = errors::Error;

    fn from_str(value: &str) -> errors::Result<Self> {
        match value {
            "answered" => Ok(Self::Answered),
            "refused-not-run" => Ok(Self::RefusedNotRun),
            "ran-and-failed" => Ok(Self::RanAndFailed),
            "unknown" => Ok(Self::Unknown),
            _ => errors::InvalidValueSnafu {
                kind: "outcome",
                value,
                accepted: "answered, refused-not-run, ran-and-failed, unknown",
            }
            .fail(),
        }
    }
}
