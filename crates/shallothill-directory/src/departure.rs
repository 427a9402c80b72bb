//! Departures of backend servers, which outlive the process of the node that confirmed them.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallothill_core::ids::{EndpointName, NodeName, ServiceName};
use shallothill_core::time::Millis;

/// `DEPARTURE_RETENTION` is the time for which a departure is kept, far longer than an announcement can be
/// delayed on its way to the node on the same host.
pub const DEPARTURE_RETENTION: Duration = Duration::from_secs(120);

/// `MAX_PER_NODE` bounds the departures of one node; the oldest are dropped first.
const MAX_PER_NODE: usize = 64;

/// `Departure` says that a backend server takes no further requests, so that its announcements up
/// to the last one that counts are outdated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Departure {
    /// The service of the backend server.
    pub service: ServiceName,
    /// The name of the backend server on its host.
    pub name: EndpointName,
    /// The start of its process, in milliseconds since 1970.
    pub started_ms: u64,
    /// The sequence number of the last outdated announcement; the largest number when the backend
    /// server has left for good.
    pub sequence: u64,
}

#[derive(Clone, Debug)]
struct Recorded {
    departure: Departure,
    at: Millis,
}

/// `DepartureTable` holds the recent departures of the backend servers of all nodes at one keeper.
#[derive(Clone, Debug, Default)]
pub struct DepartureTable {
    by_node: BTreeMap<NodeName, Vec<Recorded>>,
}

impl DepartureTable {
    /// `record` adds departures of the backend servers of `node`.
    pub fn record(&mut self, now: Millis, node: &NodeName, departures: Vec<Departure>) {
        let recorded = self.by_node.entry(node.clone()).or_default();
        for departure in departures {
            recorded.retain(|r| r.departure != departure);
            recorded.push(Recorded { departure, at: now });
        }
        let excess = recorded.len().saturating_sub(MAX_PER_NODE);
        recorded.drain(..excess);
    }

    /// `of_node` returns the departures of the backend servers of `node`, the oldest first.
    pub fn of_node(&self, node: &NodeName) -> Vec<Departure> {
        let recorded = self.by_node.get(node).into_iter().flatten();
        recorded.map(|r| r.departure.clone()).collect()
    }

    /// `all` returns all departures with their nodes.
    pub fn all(&self) -> BTreeMap<NodeName, Vec<Departure>> {
        let nodes = self.by_node.keys();
        nodes.map(|n| (n.clone(), self.of_node(n))).collect()
    }

    /// `expire` drops the departures that were recorded more than two minutes ago.
    pub fn expire(&mut self, now: Millis) {
        self.by_node.retain(|_, recorded| {
            recorded.retain(|r| now.saturating_since(r.at) < DEPARTURE_RETENTION);
            !recorded.is_empty()
        });
    }
}
