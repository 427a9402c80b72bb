//! How an attempt of a request ended.

use std::fmt;
use std::str;

use serde::{Deserialize, Serialize};

use crate::errors;

/// `Outcome` is how one attempt of a request ended; it alone decides whether a retry is allowed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A backend server ran the request and its whole answer is being passed on.
    Answered,
    /// No byte of the request was written to a backend server's socket.
    RefusedNotRun,
    /// A backend server received the request and failed.
    RanAndFailed,
    /// The request may have run; nobody can tell.
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

    /// `allows_retry` tells whether another attempt may be sent for this outcome.
    ///
    /// A non-idempotent request is sent again only when it certainly did not run.
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
