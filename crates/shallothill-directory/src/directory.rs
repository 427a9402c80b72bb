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

/// `Directory` holds the latest report of every node, heard directly or through other keepers.
///
/// Reports are ordered by (incarnation, sequence). A removed node leaves a tombstone, so that late
/// or repeated reports never bring a departed backend server back. A node that was only silent
/// may return with the sequence number that it had, because the number rises only with changes;
/// a node that said that it leaves may not.
#[derive(Clone, Debug)]
pub struct Directory {
    pub(crate) me: KeeperId,
    incarnation: Incarnation,
    options: DirectoryOptions,
    pub(crate) nodes: BTreeMap<NodeName, TrackedNode>,
    pub(crate) tombstones: BTreeMap<NodeName, Tombstone>,
    by_change: BTreeMap<u64, NodeName>,
    keepers_heard: BTreeMap<KeeperId, Millis>,
    change: u64,
    forgotten: u64,
}

impl Directory {
    /// `new` builds an empty directory for the keeper `me` in its life `incarnation`.
    pub fn new(me: KeeperId, incarnation: Incarnation, options: DirectoryOptions) -> Self {
        Self {
            me,
            incarnation,
            options,
            nodes: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            by_change: BTreeMap::new(),
            keepers_heard: BTreeMap::new(),
            change: 0,
            forgotten: 0,
        }
    }

    /// `apply_report` applies a report that came from the node itself; returns whether it was news.
    ///
    /// A node that was removed for its silence may come back with the report that it sent last.
    pub fn apply_report(&mut self, now: Millis, report: NodeReport) -> bool {
        let order = report.order();
        let late = |t: &Tombstone| order < t.order || order == t.order && t.timed_out_by.is_none();
        if self.tombstones.get(&report.node).is_some_and(late) {
            return false;
        }
        let known = self.nodes.get(&report.node).map(|k| k.entry.report.order());
        if known.is_some_and(|known| order < known) {
            return false;
        }
        self.store_report(now, report, self.me, Liveness::Reporting)
    }

    /// `apply_leave` removes a node that says that it leaves.
    pub fn apply_leave(&mut self, now: Millis, node: &NodeName, order: (Incarnation, u64)) {
        self.remove(now, node, order, None);
    }

    /// `expire_silent_nodes` marks and removes silent nodes; call it about once a second.
    pub fn expire_silent_nodes(&mut self, now: Millis) {
        let mut changed = Vec::new();
        let mut gone = Vec::new();
        for (node, kept) in &self.nodes {
            match self.liveness_at(now, kept) {
                Some(liveness) if liveness != kept.entry.liveness => {
                    changed.push((node.clone(), liveness));
                }
                Some(_) => {}
                None => gone.push((node.clone(), kept.entry.report.order(), kept.entry.via)),
            }
        }
        for (node, order, via) in gone {
            self.remove(now, &node, order, Some(via));
        }
        for (node, liveness) in changed {
            if let Some(kept) = self.nodes.get_mut(&node) {
                kept.entry.liveness = liveness;
            }
            self.assign_change_number(&node);
        }
        self.drop_old_tombstones(now);
    }

    // Returns `None` for a node that has been silent for too long.
    fn liveness_at(&self, now: Millis, kept: &TrackedNode) -> Option<Liveness> {
        let own = kept.entry.via == self.me;
        let last = match kept.unlisted_since {
            _ if own => kept.entry.last_heard_at,
            Some(since) => since,
            // The keeper that hears the node answers for it; only its own silence counts here.
            None => {
                let heard = self.keepers_heard.get(&kept.entry.via);
                heard.copied().unwrap_or(kept.entry.last_heard_at)
            }
        };
        let remove_silent_after = if own || kept.unlisted_since.is_some() {
            self.options.remove_silent_after
        } else {
            self.options.remove_after_keeper_silence
        };
        let silent = now.saturating_since(last);
        if silent >= remove_silent_after {
            return None;
        }
        Some(if silent >= self.options.silent_after {
            Liveness::Silent
        } else {
            kept.reported_liveness
        })
    }

    /// `delta` returns the changes after `cursor`, or the whole directory when the cursor belongs
    /// to another keeper or an earlier life of this one, or lies before a forgotten removal.
    pub fn delta(&self, cursor: Option<Cursor>) -> Delta {
        let after = cursor
            .filter(|c| c.keeper == self.me && c.incarnation == self.incarnation)
            .filter(|c| c.change >= self.forgotten)
            .map(|c| c.change);
        let changes = self
            .by_change
            .range(after.map_or(0, |c| c + 1)..)
            .filter_map(|(_, node)| self.change_of(node))
            .collect();
        Delta {
            full: after.is_none(),
            changes,
            cursor: self.cursor(),
        }
    }

    /// `delta_for_keeper` returns the changes after `cursor` of the nodes that this keeper hears
    /// itself, and of those that it knows through the keepers in `relay`, which the reader does
    /// not hear. The reader starts without a cursor whenever `relay` changes.
    pub fn delta_for_keeper(&self, cursor: Option<Cursor>, relay: &[KeeperId]) -> Delta {
        let wanted = |k: &KeeperId| *k == self.me || relay.contains(k);
        let mut delta = self.delta(cursor);
        delta.changes.retain(|change| match change {
            DirectoryChange::Present { via, .. } => wanted(via),
            DirectoryChange::Removed { timed_out_by, .. } => {
                timed_out_by.as_ref().is_none_or(wanted)
            }
        });
        delta
    }

    /// `cursor` returns the position after the last change.
    pub fn cursor(&self) -> Cursor {
        Cursor {
            keeper: self.me,
            incarnation: self.incarnation,
            change: self.change,
        }
    }

    /// `allocate_change_number` takes a change number that belongs to no node, so that other news can be sent to
    /// readers by the same cursor.
    pub fn allocate_change_number(&mut self) -> u64 {
        self.change += 1;
        self.change
    }

    /// `record_keeper_contact` notes that the keeper `from` was heard without news.
    pub fn record_keeper_contact(&mut self, now: Millis, from: KeeperId) {
        self.keepers_heard.insert(from, now);
    }

    /// `count_healthy_or_ejected` counts the backend servers of `service` in `region` that are healthy or would be
    /// if they were not ejected. Crashed, cold and draining ones and unheard nodes do not count.
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
        self.nodes.values().map(|k| &k.entry)
    }

    // Stores a report that is not older than the known one; returns whether it was news.
    pub(crate) fn store_report(
        &mut self,
        now: Millis,
        report: NodeReport,
        via: KeeperId,
        liveness: Liveness,
    ) -> bool {
        let node = report.node.clone();
        if let Some(kept) = self.nodes.get_mut(&node) {
            kept.reported_liveness = liveness;
            kept.unlisted_since = None;
            let entry = &mut kept.entry;
            entry.last_heard_at = now;
            let same = report.order() == entry.report.order();
            if same && entry.liveness == liveness && entry.via == via {
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
            let kept = TrackedNode {
                entry,
                reported_liveness: liveness,
                unlisted_since: None,
            };
            self.nodes.insert(node.clone(), kept);
        }
        if let Some(tombstone) = self.tombstones.remove(&node) {
            self.by_change.remove(&tombstone.change);
        }
        self.assign_change_number(&node);
        true
    }

    pub(crate) fn remove(
        &mut self,
        now: Millis,
        node: &NodeName,
        order: (Incarnation, u64),
        timed_out_by: Option<KeeperId>,
    ) {
        if let Some(kept) = self.nodes.get(node) {
            if kept.entry.report.order() > order {
                return;
            }
            self.by_change.remove(&kept.entry.change);
            self.nodes.remove(node);
        }
        if let Some(tombstone) = self.tombstones.get(node) {
            let left_since = tombstone.timed_out_by.is_some() && timed_out_by.is_none();
            if tombstone.order > order || tombstone.order == order && !left_since {
                return;
            }
            self.by_change.remove(&tombstone.change);
        }
        self.change += 1;
        self.by_change.insert(self.change, node.clone());
        let tombstone = Tombstone {
            order,
            timed_out_by,
            since: now,
            change: self.change,
        };
        self.tombstones.insert(node.clone(), tombstone);
    }

    fn assign_change_number(&mut self, node: &NodeName) {
        self.change += 1;
        if let Some(kept) = self.nodes.get_mut(node) {
            self.by_change.remove(&kept.entry.change);
            kept.entry.change = self.change;
            self.by_change.insert(self.change, node.clone());
        }
    }

    fn change_of(&self, node: &NodeName) -> Option<DirectoryChange> {
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
            timed_out_by: t.timed_out_by,
        })
    }

    fn drop_old_tombstones(&mut self, now: Millis) {
        let keep_for = self.options.tombstone_retention;
        let by_change = &mut self.by_change;
        let forgotten = &mut self.forgotten;
        self.tombstones.retain(|_, t| {
            let keep = now.saturating_since(t.since) < keep_for;
            if !keep {
                by_change.remove(&t.change);
                *forgotten = t.change.max(*forgotten);
            }
            keep
        });
    }
}
