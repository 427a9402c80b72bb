//! The id, the location and the address of a keeper, as sent to nodes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use shallothill_core::ids::{KeeperId, Zone};

/// `KeeperInfo` describes a keeper that nodes can connect to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeeperInfo {
    /// The id of the keeper.
    pub id: KeeperId,
    /// The region and the data centre of the keeper.
    pub zone: Zone,
    /// The address at which it serves [`crate::control::KeeperControl`].
    pub control_address: SocketAddr,
}
