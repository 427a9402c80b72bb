//! The states of a backend server as others see them.

use serde::{Deserialize, Serialize};

/// `ServingState` is what a backend server's gate tells about its willingness to take work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ServingState {
    /// The backend server takes its full share.
    Ready,
    /// The backend server has just started and takes a growing share.
    Cold,
    /// The backend server is sick but keeps its place, picked last.
    Demoted,
    /// The backend server is ejected and takes trial requests only.
    Ejected,
    /// The backend server is leaving and takes no new work.
    Draining,
}

impl ServingState {
    /// `counts_as_healthy` tells whether the state counts toward a service's healthy capacity.
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
        }
    }
}
