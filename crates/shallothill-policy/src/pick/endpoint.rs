//! A backend server from the point of view of an entry node.

use std::net::SocketAddr;
use std::sync::Arc;

use shallothill_core::hash;
use shallothill_core::health::ServingState;
use shallothill_core::ids::{EndpointId, Zone};

use crate::pick::path_stats::PathStats;
use crate::pick::stats::EndpointStats;

/// `EndpointKey` is a hash of an [`EndpointId`] that is cheap to copy and to compare.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct EndpointKey(pub u64);

impl EndpointKey {
    /// `of` returns the hash of `id`.
    pub fn of(id: &EndpointId) -> Self {
        // Names contain no `/`, so the joined text is unique for the id.
        Self(hash::hash64(id.to_string().as_bytes()))
    }
}

/// `EndpointInfo` is the directory's record of an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointInfo {
    /// The endpoint.
    pub id: EndpointId,
    /// The region and data centre of its node.
    pub zone: Zone,
    /// The address of its node for other nodes.
    pub peer_address: SocketAddr,
    /// Concurrent requests that it runs.
    pub slots: u16,
    /// The state that its gate reported.
    pub state: ServingState,
    /// Whether the reports of its node still arrive at a keeper.
    pub reporting: bool,
}

/// `Endpoint` combines the directory's record with this entry node's own counters, which survive
/// rebuilds of the table.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The key of `info.id`.
    pub key: EndpointKey,
    /// The directory's record.
    pub info: EndpointInfo,
    /// This entry node's counters of requests to the endpoint.
    pub stats: Arc<EndpointStats>,
    /// This entry node's record of failures on the path to the endpoint's node.
    pub path: Arc<PathStats>,
}
