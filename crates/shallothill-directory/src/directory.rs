//! The directory of nodes and their backend servers at one keeper.

use std::collections::BTreeMap;

use shallothill_core::health::ServingState;
use shallothill_core::ids::{KeeperId, NodeName, Region, ServiceName};
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::Millis;

use crate::cursor::Cursor;
use crate::delta::{Delta, DirectoryChange};
use crate::entry::{Liveness, NodeEntry};
use crate::options::DirectoryOptions;
use crate::report::NodeReport;
use crate::tracked_node::{Tombstone, TrackedNode};

/// `Directory` holds the latest report of every node, received directly or from other keepers.
///
/// Reports are ordered by (incarnation, sequence). A removed node leaves a tombstone, so that late
/// or repeated reports never restore a backend server that has left. A node that was removed only
/// because it was silent may return with the same sequence number, because the number rises only
/// when the report changes; a node that announced its departure may not.
#[derive(Clone, Debug)]
pub struct Directory {
    pub(crate) me: KeeperId,
    incarnation: Incarnation,
    options: DirectoryOptions,
    pub(crate) nodes: BTreeMap<NodeName, TrackedNode>,
    pub(crate) tombstones: BTreeMap<NodeName, Tombstone>,
    node_by_change: BTreeMap<u64, NodeName>,
    keeper_last_heard_at: BTreeMap<KeeperId, Millis>,
    last_change: u64,
    /// The highest change number of a removal whose tombstone was dropped.
    last_dropped_removal: u64,
}

impl Directory {
    /// `new` builds an empty directory for the keeper `me`, whose process has this `incarnation`.
    pub fn new(me: KeeperId, incarnation: Incarnation, options: DirectoryOptions) -> Self {
        Self {
            me,
            incarnation,
            options,
            nodes: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            node_by_change: BTreeMap::new(),
            keeper_last_heard_at: BTreeMap::new(),
            last_change: 0,
            last_dropped_removal: 0,
        }
    }

    /// `apply_report` applies a report that the node itself sent; returns whether the directory
    /// changed.
    ///
    /// A node that was removed for its silence may return with the report that it sent last.
    pub fn apply_report(&mut self, now: Millis, report: NodeReport) -> bool {
        !self.is_outdated(&report) && self.store_report(now, report, self.me, Liveness::Reporting)
    }

    /// `is_outdated` tells whether the node has sent a later report, or has left after this one.
    pub fn is_outdated(&self, report: &NodeReport) -> bool {
        let order = report.order();
        let is_late =
            |t: &Tombstone| order < t.order || order == t.order && t.timed_out_via.is_none();
        if self.tombstones.get(&report.node).is_some_and(is_late) {
            return true;
        }
        let current = self.nodes.get(&report.node).map(|n| n.entry.report.order());
        current.is_some_and(|current| order < current)
    }

    /// `apply_leave` removes a node that announces its departure; `order` is that of its final
    /// report.
    pub fn apply_leave(&mut self, now: Millis, node: &NodeName, order: (Incarnation, u64)) {
        self.remove_node(now, node, order, None);
    }

    /// `expire_silent_nodes` marks silent nodes, removes those that were silent for too long and
    /// drops old tombstones. It must be called about once a second.
    pub fn expire_silent_nodes(&mut self, now: Millis) {
        let mut changed = Vec::new();
        let mut removed = Vec::new();
        for (node, tracked) in &self.nodes {
            match self.liveness_at(now, tracked) {
                Some(liveness) if liveness != tracked.entry.liveness => {
                    changed.push((node.clone(), liveness));
                }
                Some(_) => {}
                None => removed.push((
                    node.clone(),
                    tracked.entry.report.order(),
                    tracked.entry.via,
                )),
            }
        }
        for (node, order, via) in removed {
            self.remove_node(now, &node, order, Some(via));
        }
        for (node, liveness) in changed {
            if let Some(tracked) = self.nodes.get_mut(&node) {
                tracked.entry.liveness = liveness;
            }
            self.assign_change_number(&node);
        }
        self.drop_old_tombstones(now);
    }

    // Returns `None` for a node that has been silent for too long.
    fn liveness_at(&self, now: Millis, tracked: &TrackedNode) -> Option<Liveness> {
        let reports_here = tracked.entry.via == self.me;
        let last_heard_at = match tracked.unlisted_since {
            _ if reports_here => tracked.entry.last_heard_at,
            Some(since) => since,
            // The keeper to which the node reports decides on it, so only that keeper's own
            // silence counts here.
            None => {
                let keeper_heard_at = self.keeper_last_heard_at.get(&tracked.entry.via);
                keeper_heard_at
                    .copied()
                    .unwrap_or(tracked.entry.last_heard_at)
            }
        };
        let remove_after = if reports_here || tracked.unlisted_since.is_some() {
            self.options.remove_silent_after
        } else {
            self.options.remove_after_keeper_silence
        };
        let silence = now.saturating_since(last_heard_at);
        if silence >= remove_after {
            return None;
        }
        Some(if silence >= self.options.silent_after {
            Liveness::Silent
        } else {
            tracked.reported_liveness
        })
    }

    /// `delta` returns the changes after `cursor`. It returns the complete directory when there is
    /// no cursor, when the cursor belongs to another keeper or to an earlier incarnation of this
    /// one, or when it lies before a removal whose tombstone was dropped.
    pub fn delta(&self, cursor: Option<Cursor>) -> Delta {
        let after = cursor
            .filter(|c| c.keeper == self.me && c.incarnation == self.incarnation)
            .filter(|c| c.change >= self.last_dropped_removal)
            .map(|c| c.change);
        let changes = self
            .node_by_change
            .range(after.map_or(0, |c| c + 1)..)
            .filter_map(|(_, node)| self.change_for(node))
            .collect();
        Delta {
            full: after.is_none(),
            changes,
            cursor: self.cursor(),
        }
    }

    /// `delta_for_keeper` returns the changes after `cursor` of the nodes that report to this
    /// keeper or to one of the keepers in `relay`, which the reader cannot reach. The reader starts
    /// without a cursor whenever `relay` changes.
    pub fn delta_for_keeper(&self, cursor: Option<Cursor>, relay: &[KeeperId]) -> Delta {
        let is_relayed = |k: &KeeperId| *k == self.me || relay.contains(k);
        let mut delta = self.delta(cursor);
        delta.changes.retain(|change| match change {
            DirectoryChange::Present { via, .. } => is_relayed(via),
            DirectoryChange::Removed { timed_out_via, .. } => {
                timed_out_via.as_ref().is_none_or(is_relayed)
            }
        });
        delta
    }

    /// `cursor` returns the position after the last change.
    pub fn cursor(&self) -> Cursor {
        Cursor {
            keeper: self.me,
            incarnation: self.incarnation,
            change: self.last_change,
        }
    }

    /// `allocate_change_number` returns a change number that belongs to no node, so that a keeper
    /// can send other updates to readers with the same cursor.
    pub fn allocate_change_number(&mut self) -> u64 {
        self.last_change += 1;
        self.last_change
    }

    /// `record_keeper_contact` records that the keeper `from` answered without changes.
    pub fn record_keeper_contact(&mut self, now: Millis, from: KeeperId) {
        self.keeper_last_heard_at.insert(from, now);
    }

    /// `count_healthy_or_ejected` counts the backend servers of `service` in `region` that are
    /// healthy or would be if they were not ejected. Crashed, cold and draining ones do not count,
    /// nor do those of silent nodes.
    pub fn count_healthy_or_ejected(&self, service: &ServiceName, region: &Region) -> u32 {
        let endpoints = self
            .nodes()
            .filter(|n| n.liveness == Liveness::Reporting && n.report.zone.region == *region)
            .flat_map(|n| &n.report.endpoints);
        let counted = endpoints.filter(|e| {
            e.service == *service
                && (e.state.counts_as_healthy() || e.state == ServingState::Ejected)
        });
        u32::try_from(counted.count()).unwrap_or(u32::MAX)
    }

    /// `nodes` iterates over all present nodes in the order of their names.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeEntry> {
        self.nodes.values().map(|n| &n.entry)
    }

    // Stores a report that is not older than the current one; returns whether the report, the
    // liveness or the keeper changed.
    pub(crate) fn store_report(
        &mut self,
        now: Millis,
        report: NodeReport,
        via: KeeperId,
        liveness: Liveness,
    ) -> bool {
        let node = report.node.clone();
        if let Some(tracked) = self.nodes.get_mut(&node) {
            tracked.reported_liveness = liveness;
            tracked.unlisted_since = None;
            let entry = &mut tracked.entry;
            entry.last_heard_at = now;
            let is_same = report.order() == entry.report.order();
            if is_same && entry.liveness == liveness && entry.via == via {
                return false;
            }
            entry.report = report;
            entry.liveness = liveness;
            entry.via = via;
        } else {
            let entry = NodeEntry {
                report,
                via,
                liveness,
                last_heard_at: now,
                change: 0,
            };
            let tracked = TrackedNode {
                entry,
                reported_liveness: liveness,
                unlisted_since: None,
            };
            self.nodes.insert(node.clone(), tracked);
        }
        if let Some(tombstone) = self.tombstones.remove(&node) {
            self.node_by_change.remove(&tombstone.change);
        }
        self.assign_change_number(&node);
        true
    }

    pub(crate) fn remove_node(
        &mut self,
        now: Millis,
        node: &NodeName,
        order: (Incarnation, u64),
        timed_out_via: Option<KeeperId>,
    ) {
        if let Some(tracked) = self.nodes.get(node) {
            if tracked.entry.report.order() > order {
                return;
            }
            self.node_by_change.remove(&tracked.entry.change);
            self.nodes.remove(node);
        }
        if let Some(tombstone) = self.tombstones.get(node) {
            let leave_after_timeout = tombstone.timed_out_via.is_some() && timed_out_via.is_none();
            if tombstone.order > order || tombstone.order == order && !leave_after_timeout {
                return;
            }
            self.node_by_change.remove(&tombstone.change);
        }
        self.last_change += 1;
        self.node_by_change.insert(self.last_change, node.clone());
        let tombstone = Tombstone {
            order,
            timed_out_via,
            removed_at: now,
            change: self.last_change,
        };
        self.tombstones.insert(node.clone(), tombstone);
    }

    fn assign_change_number(&mut self, node: &NodeName) {
        self.last_change += 1;
        if let Some(tracked) = self.nodes.get_mut(node) {
            self.node_by_change.remove(&tracked.entry.change);
            tracked.entry.change = self.last_change;
            self.node_by_change.insert(self.last_change, node.clone());
        }
    }

    fn change_for(&self, node: &NodeName) -> Option<DirectoryChange> {
        if let Some(TrackedNode { entry, .. }) = self.nodes.get(node) {
            return Some(DirectoryChange::Present {
                report: entry.report.clone(),
                via: entry.via,
                liveness: entry.liveness,
            });
        }
        self.tombstones.get(node).map(|t| DirectoryChange::Removed {
            node: node.clone(),
            incarnation: t.order.0,
            sequence: t.order.1,
            timed_out_via: t.timed_out_via,
        })
    }

    fn drop_old_tombstones(&mut self, now: Millis) {
        let keep_for = self.options.tombstone_retention;
        let node_by_change = &mut self.node_by_change;
        let last_dropped_removal = &mut self.last_dropped_removal;
        self.tombstones.retain(|_, t| {
            let keep = now.saturating_since(t.removed_at) < keep_for;
            if !keep {
                node_by_change.remove(&t.change);
                *last_dropped_removal = t.change.max(*last_dropped_removal);
            }
            keep
        });
    }
}
