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
}
