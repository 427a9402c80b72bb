//! A backend server as an entry node sees it.

use std::net::SocketAddr;
use std::sync::Arc;

use shallothill_core::hash;
use shallothill_core::health::ServingState;
use shallothill_core::ids::{EndpointId, Zone};

use crate::pick::path_stats::PathStats;
use crate::pick::stats::EndpointStats;

/// `EndpointKey` is a hash of an [`EndpointId`], cheap to copy and to compare.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct EndpointKey(pub u64);

impl EndpointKey {
    /// `of` hashes `id`.
    pub fn of(id: &EndpointId) -> Self {
        // Names hold no `/`, so the joined text is unique for the id.
        Self(hash::short(id.to_string().as_bytes()))
    }
}

/// `EndpointInfo` is what the directory says about an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointInfo {
    /// The endpoint.
    pub id: EndpointId,
    /// Its place.
    pub zone: Zone,
    /// The address of its node for other nodes.
    pub peer_address: SocketAddr,
    /// Requests that it runs at a time.
    pub slots: u16,
    /// Its state at its gate.
    pub state: ServingState,
    /// Whether its node's reports still arrive.
    pub reporting: bool,
}

/// `Endpoint` joins the directory's view with this entry node's own counters, which survive
/// rebuilds of the table.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The key of `info.id`.
    pub key: EndpointKey,
    /// The directory's view.
    pub info: EndpointInfo,
    /// This entry node's counters of the endpoint.
    pub stats: Arc<EndpointStats>,
    /// This entry node's evidence on the path to the endpoint's node.
    pub path: Arc<PathStats>,
}
