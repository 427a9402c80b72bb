//! The tables of all services.

use std::collections::HashMap;
use std::sync::Arc;

use shallothill_core::ids::{NodeName, ServiceName, Zone};

use crate::pick::endpoint::EndpointInfo;
use crate::pick::options::PickOptions;
use crate::pick::path_stats::PathStats;
use crate::pick::service_table::ServiceTable;

/// `Tables` is an immutable snapshot of all services' tables, meant to be held in an `ArcSwap`.
///
/// Counters are shared between a snapshot and its successors.
#[derive(Clone, Debug, Default)]
pub struct ServiceTables {
    services: HashMap<ServiceName, Arc<ServiceTable>>,
    paths: HashMap<NodeName, Arc<PathStats>>,
}

impl ServiceTables {
    /// `service` returns the table of `name`.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<ServiceTable>> {
        self.services.get(name)
    }

    /// `services` iterates over all tables, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &Arc<ServiceTable>)> {
        self.services.iter()
    }

    /// `path` returns the evidence on the path to `node`, if an endpoint stands there.
    pub fn path(&self, node: &NodeName) -> Option<&Arc<PathStats>> {
        self.paths.get(node)
    }

    /// `with` returns a snapshot for an entry node at `me` in which the listed services have
    /// exactly the given endpoints; a service without endpoints is dropped.
    pub fn with_endpoints(
        &self,
        me: &Zone,
        changed: Vec<(ServiceName, Vec<EndpointInfo>)>,
        options: &PickOptions,
    ) -> Self {
        let mut next = self.clone();
        for (service, endpoints) in changed {
            if endpoints.is_empty() {
                next.services.remove(&service);
                continue;
            }
            let previous = self.services.get(&service).map(Arc::as_ref);
            let paths = &mut next.paths;
            let table = ServiceTable::build(me, endpoints, previous, paths, options.clone());
            next.services.insert(service, Arc::new(table));
        }
        // A path that no endpoint uses is held by the snapshots' maps only.
        next.paths.retain(|node, path| {
            let maps = 1 + usize::from(self.paths.contains_key(node));
            Arc::strong_count(path) > maps
        });
        next
    }
}
