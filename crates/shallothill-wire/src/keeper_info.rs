//! A keeper as others are told about it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use shallothill_core::ids::{KeeperId, Zone};

/// `KeeperInfo` is a keeper with its place and its address for nodes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeeperInfo {
    /// The keeper.
    pub id: KeeperId,
    /// The place that it stands in.
    pub zone: Zone,
    /// Its address for nodes.
    pub control_address: SocketAddr,
}
