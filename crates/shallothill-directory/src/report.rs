//! A node's report on its backend servers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use shallothill_core::ids::{NodeName, Zone};
use shallothill_core::incarnation::Incarnation;

use crate::endpoint_status::EndpointStatus;

/// `NodeReport` is everything that other nodes need to know of one node, in full.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeReport {
    /// The node.
    pub node: NodeName,
    /// Its place.
    pub zone: Zone,
    /// The address for other nodes.
    pub peer_address: SocketAddr,
    /// The life of the node's process.
    pub incarnation: Incarnation,
    /// Numbers the reports of one incarnation; it rises when the content changes.
    pub sequence: u64,
    /// The backend servers on the host.
    pub endpoints: Vec<EndpointStatus>,
}

impl NodeReport {
    /// `order` returns the pair by which reports of one node are ordered.
    pub fn order(&self) -> (Incarnation, u64) {
        (self.incarnation, self.sequence)
    }
}
