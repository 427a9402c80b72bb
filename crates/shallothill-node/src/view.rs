//! The directory of all nodes, from which the entry picks endpoints.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::{ArcSwap, Guard};
use rand::seq::IndexedRandom;
use shallothill_core::ids::{EndpointId, NodeName, ServiceName, Zone};
use shallothill_core::time::Millis;
use shallothill_directory::{Delta, DirectoryChange, Liveness, NodeReport};
use shallothill_policy::pick::{EndpointInfo, PickOptions, ServiceTables};

#[derive(Debug, Default)]
struct DirectoryState {
    nodes: BTreeMap<NodeName, (NodeReport, Liveness)>,
    service_names: BTreeSet<ServiceName>,
}

/// `DirectoryView` holds the latest report of every node and the pick tables built from the
/// reports.
#[derive(Debug)]
pub struct DirectoryView {
    own_name: NodeName,
    zone: Zone,
    state: Mutex<DirectoryState>,
    tables: ArcSwap<ServiceTables>,
}

impl DirectoryView {
    /// `new` builds an empty directory for the node `own_name` in `zone`.
    pub fn new(own_name: NodeName, zone: Zone) -> Self {
        Self {
            own_name,
            zone,
            state: Mutex::default(),
            tables: ArcSwap::default(),
        }
    }

    /// `tables` returns the current pick tables of all services.
    pub fn tables(&self) -> Guard<Arc<ServiceTables>> {
        self.tables.load()
    }

    /// `set_own_report` applies the report of this node, which does not come from a keeper.
    pub fn set_own_report(&self, report: NodeReport) {
        let mut state = self.lock();
        let mut changed_services = BTreeSet::new();
        state.insert_report(report, Liveness::Reporting, &mut changed_services);
        self.rebuild(&state, changed_services);
    }

    /// `apply` applies changes that a keeper sent, except those of this node. A full delta removes
    /// all nodes that it does not list.
    pub fn apply(&self, delta: Delta) {
        let mut state = self.lock();
        let mut changed_services = BTreeSet::new();
        let mut listed = BTreeSet::new();
        for change in delta.changes {
            match change {
                DirectoryChange::Present {
                    report, liveness, ..
                } => {
                    listed.insert(report.node.clone());
                    if report.node != self.own_name {
                        state.insert_report(report, liveness, &mut changed_services);
                    }
                }
                DirectoryChange::Removed {
                    node,
                    incarnation,
                    sequence,
                    ..
                } => {
                    let current = state.nodes.get(&node).map(|(r, _)| r.order());
                    let outdated = current.is_some_and(|k| k > (incarnation, sequence));
                    if node != self.own_name && !outdated {
                        state.remove_node(&node, &mut changed_services);
                    }
                }
            }
        }
        if delta.full {
            let unlisted: Vec<NodeName> = state
                .nodes
                .keys()
                .filter(|n| **n != self.own_name && !listed.contains(*n))
                .cloned()
                .collect();
            for node in unlisted {
                state.remove_node(&node, &mut changed_services);
            }
        }
        self.rebuild(&state, changed_services);
    }

    /// `refresh` updates the share of requests that spills over to other tiers; call it about every
    /// 250 ms.
    pub fn refresh(&self, now: Millis) {
        for (_, table) in self.tables.load().services() {
            table.update_spill(now);
        }
    }

    /// `random_peers` returns the addresses of up to `n` random other nodes, those of the own
    /// region if there are any.
    pub fn random_peers(&self, n: usize) -> Vec<SocketAddr> {
        let state = self.lock();
        let others = || {
            state
                .nodes
                .values()
                .filter(|(r, _)| r.node != self.own_name)
        };
        let near: Vec<SocketAddr> = others()
            .filter(|(r, _)| r.zone.region == self.zone.region)
            .map(|(r, _)| r.peer_address)
            .collect();
        let far = || others().map(|(r, _)| r.peer_address).collect();
        let from = if near.is_empty() { far() } else { near };
        from.choose_multiple(&mut rand::rng(), n).copied().collect()
    }

    /// `neighbours` returns the addresses of up to `n` other nodes of the own region, those of the
    /// own data centre first.
    pub fn neighbours(&self, n: usize) -> Vec<SocketAddr> {
        let state = self.lock();
        let near = state.nodes.values().filter_map(|(r, _)| {
            let here = r.zone.region == self.zone.region && r.node != self.own_name;
            here.then(|| (r.zone != self.zone, r.peer_address))
        });
        let mut near: Vec<(bool, SocketAddr)> = near.collect();
        near.sort_unstable();
        near.into_iter().take(n).map(|(_, a)| a).collect()
    }

    /// `peer_addresses` returns the addresses of those of `nodes` that are known, in the same order,
    /// each with whether the node is in the own region.
    pub fn peer_addresses(&self, nodes: &[NodeName]) -> Vec<(bool, SocketAddr)> {
        let state = self.lock();
        let known = nodes.iter().filter_map(|n| state.nodes.get(n));
        known
            .map(|(r, _)| (r.zone.region == self.zone.region, r.peer_address))
            .collect()
    }

    /// `node_count` returns the number of nodes with a report.
    pub fn node_count(&self) -> usize {
        self.lock().nodes.len()
    }

    /// `nodes` returns the latest report of each node and whether the node still reports.
    pub fn nodes(&self) -> Vec<(NodeReport, Liveness)> {
        self.lock().nodes.values().cloned().collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, DirectoryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn rebuild(&self, state: &DirectoryState, changed_services: BTreeSet<ServiceName>) {
        if changed_services.is_empty() {
            return;
        }
        let mut changed: BTreeMap<ServiceName, Vec<EndpointInfo>> = changed_services
            .into_iter()
            .map(|s| (s, Vec::new()))
            .collect();
        for (report, liveness) in state.nodes.values() {
            for e in &report.endpoints {
                let Some(list) = changed.get_mut(&e.service) else {
                    continue;
                };
                list.push(EndpointInfo {
                    id: EndpointId {
                        service: e.service.clone(),
                        node: report.node.clone(),
                        name: e.name.clone(),
                    },
                    zone: report.zone.clone(),
                    peer_address: report.peer_address,
                    slots: e.slots,
                    state: e.state,
                    reporting: *liveness == Liveness::Reporting,
                });
            }
        }
        let changed = changed.into_iter().collect();
        let options = PickOptions::default();
        let next = self
            .tables
            .load()
            .with_endpoints(&self.zone, changed, &options);
        self.tables.store(Arc::new(next));
    }
}

impl DirectoryState {
    fn insert_report(
        &mut self,
        mut report: NodeReport,
        liveness: Liveness,
        changed_services: &mut BTreeSet<ServiceName>,
    ) {
        for e in &mut report.endpoints {
            // All endpoints of a service share one copy of its name.
            match self.service_names.get(&e.service) {
                Some(name) => e.service = name.clone(),
                None => {
                    self.service_names.insert(e.service.clone());
                }
            }
        }
        let current = self.nodes.get(&report.node);
        if let Some((old, old_liveness)) = current {
            if old.order() > report.order() {
                return;
            }
            let unchanged = old.endpoints == report.endpoints
                && old.peer_address == report.peer_address
                && *old_liveness == liveness;
            if !unchanged {
                changed_services.extend(old.endpoints.iter().map(|e| e.service.clone()));
                changed_services.extend(report.endpoints.iter().map(|e| e.service.clone()));
            }
        } else {
            changed_services.extend(report.endpoints.iter().map(|e| e.service.clone()));
        }
        self.nodes.insert(report.node.clone(), (report, liveness));
    }

    fn remove_node(&mut self, node: &NodeName, changed_services: &mut BTreeSet<ServiceName>) {
        if let Some((old, _)) = self.nodes.remove(node) {
            changed_services.extend(old.endpoints.into_iter().map(|e| e.service));
        }
    }
}
