//! What a backend server tells about itself.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// `Announced` is the state that a backend server announces.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Announced {
    /// It takes its full share.
    Ready,
    /// It has just started and takes a growing share.
    Cold,
    /// It is leaving and takes no new work.
    Draining,
}

/// `Announcement` is the body of `PUT /announce/{service}/{endpoint}`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Where the backend server listens.
    pub address: SocketAddr,
    /// Its state.
    pub state: Announced,
    /// Requests that it runs at a time.
    pub slots: u16,
    /// When it started, in milliseconds since 1970, or 0 where it does not tell. Of two backend
    /// servers at one address, the one that started later is there.
    #[serde(default)]
    pub started_ms: u64,
    /// Orders the announcements since the start, or 0 where it does not tell.
    #[serde(default)]
    pub sequence: u64,
}

impl Announcement {
    /// `order` tells which of two announcements of one backend server is newer.
    pub fn order(&self) -> (u64, u64) {
        (self.started_ms, self.sequence)
    }
}
