//! The serving state of a backend server, as its gate reports it.

use serde::{Deserialize, Serialize};

/// `ServingState` tells how much work a backend server should be sent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ServingState {
    /// The backend server takes its full share.
    Ready,
    /// The backend server has just started and takes a growing share.
    Cold,
    /// The backend server is unhealthy but not ejected, and is picked last.
    Demoted,
    /// The backend server is ejected and gets only trial requests.
    Ejected,
    /// The backend server is shutting down and takes no new requests.
    Draining,
    /// The backend server is idle and has run too little lately to be trusted: it takes idempotent
    /// requests, and one of them should be sent to it as a trial.
    Unproven,
}

impl ServingState {
    /// `counts_as_healthy` tells whether a backend server in this state counts toward the healthy
    /// capacity of its service.
    pub fn counts_as_healthy(self) -> bool {
        matches!(self, Self::Ready | Self::Demoted)
    }

    /// `as_str` returns the name used in headers and dumps.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Cold => "cold",
            Self::Demoted => "demoted",
            Self::Ejected => "ejected",
            Self::Draining => "draining",
            Self::Unproven => "unproven",
        }
    }
}
