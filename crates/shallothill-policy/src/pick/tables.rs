//! The endpoint tables of all services.

use std::collections::HashMap;
use std::sync::Arc;

use shallothill_core::ids::{NodeName, ServiceName, Zone};

use crate::pick::endpoint::EndpointInfo;
use crate::pick::options::PickOptions;
use crate::pick::path_stats::PathStats;
use crate::pick::service_table::ServiceTable;

/// `ServiceTables` is an immutable snapshot of the tables of all services, meant to be held in an
/// `ArcSwap`.
///
/// A snapshot shares its counters with its successors.
#[derive(Clone, Debug, Default)]
pub struct ServiceTables {
    services: HashMap<ServiceName, Arc<ServiceTable>>,
    paths: HashMap<NodeName, Arc<PathStats>>,
}

impl ServiceTables {
    /// `service` returns the table of `name`, or `None` when it has no endpoints.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<ServiceTable>> {
        self.services.get(name)
    }

    /// `services` iterates over all tables in no particular order.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &Arc<ServiceTable>)> {
        self.services.iter()
    }

    /// `path` returns the record of failures on the path to `node`, if the node has an endpoint.
    pub fn path(&self, node: &NodeName) -> Option<&Arc<PathStats>> {
        self.paths.get(node)
    }

    /// `with_endpoints` returns a snapshot for an entry node at `me` in which the listed services
    /// have exactly the given endpoints; a service without endpoints is removed.
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
        // A path that no endpoint uses is referenced by the maps of the snapshots only.
        next.paths.retain(|node, path| {
            let maps = 1 + usize::from(self.paths.contains_key(node));
            Arc::strong_count(path) > maps
        });
        next
    }
}
