//! The directory as the entry role uses it.

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
struct State {
    nodes: BTreeMap<NodeName, (NodeReport, Liveness)>,
    names: BTreeSet<ServiceName>,
}

/// `DirectoryView` holds the latest report of every node and the pick tables made of them.
#[derive(Debug)]
pub struct DirectoryView {
    me: NodeName,
    zone: Zone,
    state: Mutex<State>,
    tables: ArcSwap<ServiceTables>,
}

impl DirectoryView {
    /// `new` builds an empty directory for the node `me` at `zone`.
    pub fn new(me: NodeName, zone: Zone) -> Self {
        Self {
            me,
            zone,
            state: Mutex::default(),
            tables: ArcSwap::default(),
        }
    }

    /// `tables` returns the pick tables.
    pub fn tables(&self) -> Guard<Arc<ServiceTables>> {
        self.tables.load()
    }

    /// `set_own_report` takes the node's own report, which needs no keeper.
    pub fn set_own_report(&self, report: NodeReport) {
        let mut state = self.lock();
        let mut touched = BTreeSet::new();
        state.put(report, Liveness::Reporting, &mut touched);
        self.rebuild(&state, touched);
    }

    /// `apply` takes changes that a keeper sent. What it says about this node is ignored.
    pub fn apply(&self, delta: Delta) {
        let mut state = self.lock();
        let mut touched = BTreeSet::new();
        let mut listed = BTreeSet::new();
        for change in delta.changes {
            match change {
                DirectoryChange::Present {
                    report, liveness, ..
                } => {
                    listed.insert(report.node.clone());
                    if report.node != self.me {
                        state.put(report, liveness, &mut touched);
                    }
                }
                DirectoryChange::Removed {
                    node,
                    incarnation,
                    sequence,
                    ..
                } => {
                    let known = state.nodes.get(&node).map(|(r, _)| r.order());
                    let late = known.is_some_and(|k| k > (incarnation, sequence));
                    if node != self.me && !late {
                        state.remove(&node, &mut touched);
                    }
                }
            }
        }
        if delta.full {
            let gone: Vec<NodeName> = state
                .nodes
                .keys()
                .filter(|n| **n != self.me && !listed.contains(*n))
                .cloned()
                .collect();
            for node in gone {
                state.remove(&node, &mut touched);
            }
        }
        self.rebuild(&state, touched);
    }

    /// `refresh` adjusts the spill-over between tiers; call it about every 250 ms.
    pub fn refresh(&self, now: Millis) {
        for (_, table) in self.tables.load().services() {
            table.update_spill(now);
        }
    }

    /// `peers` returns the addresses of up to `n` random nodes other than this one, those of the
    /// own region if there are any.
    pub fn random_peers(&self, n: usize) -> Vec<SocketAddr> {
        let state = self.lock();
        let others = || state.nodes.values().filter(|(r, _)| r.node != self.me);
        let near: Vec<SocketAddr> = others()
            .filter(|(r, _)| r.zone.region == self.zone.region)
            .map(|(r, _)| r.peer_address)
            .collect();
        let far = || others().map(|(r, _)| r.peer_address).collect();
        let from = if near.is_empty() { far() } else { near };
        from.choose_multiple(&mut rand::rng(), n).copied().collect()
    }

    /// `neighbours` returns the addresses of up to `most` other nodes of the region, those of the
    /// own data centre first.
    pub fn neighbours(&self, most: usize) -> Vec<SocketAddr> {
        let state = self.lock();
        let near = state.nodes.values().filter_map(|(r, _)| {
            let here = r.zone.region == self.zone.region && r.node != self.me;
            here.then(|| (r.zone != self.zone, r.peer_address))
        });
        let mut near: Vec<(bool, SocketAddr)> = near.collect();
        near.sort_unstable();
        near.into_iter().take(most).map(|(_, a)| a).collect()
    }

    /// `size` returns the number of known nodes.
    pub fn size(&self) -> usize {
        self.lock().nodes.len()
    }

    /// `nodes` returns the latest reports.
    pub fn nodes(&self) -> Vec<(NodeReport, Liveness)> {
        self.lock().nodes.values().cloned().collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn rebuild(&self, state: &State, touched: BTreeSet<ServiceName>) {
        if touched.is_empty() {
            return;
        }
        let mut changed: BTreeMap<ServiceName, Vec<EndpointInfo>> =
            touched.into_iter().map(|s| (s, Vec::new())).collect();
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

impl State {
    fn put(
        &mut self,
        mut report: NodeReport,
        liveness: Liveness,
        touched: &mut BTreeSet<ServiceName>,
    ) {
        for e in &mut report.endpoints {
            // One copy of each name serves all of its endpoints.
            match self.names.get(&e.service) {
                Some(name) => e.service = name.clone(),
                None => {
                    self.names.insert(e.service.clone());
                }
            }
        }
        let known = self.nodes.get(&report.node);
        if let Some((old, heard)) = known {
            if old.order() > report.order() {
                return;
            }
            let same = old.endpoints == report.endpoints
                && old.peer_address == report.peer_address
                && *heard == liveness;
            if !same {
                touched.extend(old.endpoints.iter().map(|e| e.service.clone()));
                touched.extend(report.endpoints.iter().map(|e| e.service.clone()));
            }
        } else {
            touched.extend(report.endpoints.iter().map(|e| e.service.clone()));
        }
        self.nodes.insert(report.node.clone(), (report, liveness));
    }

    fn remove(&mut self, node: &NodeName, touched: &mut BTreeSet<ServiceName>) {
        if let Some((old, _)) = self.nodes.remove(node) {
            touched.extend(old.endpoints.into_iter().map(|e| e.service));
        }
    }
}
