//! A node's report on its backend servers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use shallothill_core::ids::{NodeName, Zone};
use shallothill_core::incarnation::Incarnation;

use crate::endpoint_status::EndpointStatus;

/// `NodeReport` describes one node and all its backend servers to the other nodes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeReport {
    /// The name of the reporting node.
    pub node: NodeName,
    /// The region and data centre of the node.
    pub zone: Zone,
    /// The address on which the node accepts requests of other nodes.
    pub peer_address: SocketAddr,
    /// The incarnation of the node's process.
    pub incarnation: Incarnation,
    /// Numbers the reports of one incarnation; it rises when the content changes.
    pub sequence: u64,
    /// The backend servers on the node's host.
    pub endpoints: Vec<EndpointStatus>,
}

impl NodeReport {
    /// `order` returns the incarnation and sequence number, which order the reports of one node.
    pub fn order(&self) -> (Incarnation, u64) {
        (self.incarnation, self.sequence)
    }
}
