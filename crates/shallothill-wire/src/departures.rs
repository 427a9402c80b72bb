//! Departures of backend servers, which nodes store at the keepers.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallothill_core::ids::NodeName;
use shallothill_directory::Departure;

use crate::keeper_info::KeeperInfo;

/// `RECORD_TIMEOUT` is the longest wait of a node for a keeper that stores departures. A backend server
/// waits about a second for the confirmation.
pub const RECORD_TIMEOUT: Duration = Duration::from_millis(800);

/// `RecordDeparturesRequest` asks a keeper to store departures beyond the life of the node's process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordDeparturesRequest {
    /// The node on whose host the backend servers were.
    pub node: NodeName,
    /// The departures.
    pub departures: Vec<Departure>,
}

/// `RecordDeparturesReply` tells whether a keeper has stored departures.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordDeparturesReply {
    /// Whether they are durable.
    pub durable: bool,
    /// The group of the keeper.
    pub group: KeeperGroup,
}

/// `DeparturesReply` returns the departures that a keeper has stored for a node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DeparturesReply {
    /// The departures, the oldest first; `None` while the keeper may lack some that it stored, as
    /// after the loss of its disk.
    pub departures: Option<Vec<Departure>>,
    /// The group of the keeper.
    pub group: KeeperGroup,
}

/// `KeeperGroup` is what a keeper knows of the others, so that a node can count a majority before it
/// has discovered all of them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeeperGroup {
    /// The number of members of the config log; 0 if it is not known.
    pub members: u32,
    /// The keepers that the called one knows, itself included; empty where the settings list them.
    pub keepers: Vec<KeeperInfo>,
}
