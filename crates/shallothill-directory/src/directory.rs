//! The directory of nodes and their backend servers at one keeper.

use std::collections::BTreeMap;

use shallothill_core::health::ServingState;
use shallothill_core::ids::{KeeperId, NodeName, Region, ServiceName};
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::Millis;

use crate::cursor::Cursor;
use crate::delta::{Change, Delta};
use crate::entry::{Contact, NodeEntry};
use crate::kept::{Kept, Tombstone};
use crate::options::DirectoryOptions;
use crate::report::NodeReport;

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
    pub(crate) nodes: BTreeMap<NodeName, Kept>,
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

    /// `report` applies a report that came from the node itself; returns whether it was news.
    ///
    /// A node that was removed for its silence may come back with the report that it sent last.
    pub fn report(&mut self, now: Millis, report: NodeReport) -> bool {
        let order = report.order();
        let late = |t: &Tombstone| order < t.order || order == t.order && t.silent_by.is_none();
        if self.tombstones.get(&report.node).is_some_and(late) {
            return false;
        }
        let known = self.nodes.get(&report.node).map(|k| k.entry.report.order());
        if known.is_some_and(|known| order < known) {
            return false;
        }
        self.put(now, report, self.me, Contact::Heard)
    }

    /// `leave` removes a node that says that it leaves.
    pub fn leave(&mut self, now: Millis, node: &NodeName, order: (Incarnation, u64)) {
        self.remove(now, node, order, None);
    }

    /// `expire` marks and removes silent nodes; call it about once a second.
    pub fn expire(&mut self, now: Millis) {
        let mut changed = Vec::new();
        let mut gone = Vec::new();
        for (node, kept) in &self.nodes {
            match self.contact_at(now, kept) {
                Some(contact) if contact != kept.entry.contact => {
                    changed.push((node.clone(), contact));
                }
                Some(_) => {}
                None => gone.push((node.clone(), kept.entry.report.order(), kept.entry.via)),
            }
        }
        for (node, order, via) in gone {
            self.remove(now, &node, order, Some(via));
        }
        for (node, contact) in changed {
            if let Some(kept) = self.nodes.get_mut(&node) {
                kept.entry.contact = contact;
            }
            self.touch(&node);
        }
        self.drop_old_tombstones(now);
    }

    // Returns `None` for a node that has been silent for too long.
    fn contact_at(&self, now: Millis, kept: &Kept) -> Option<Contact> {
        let own = kept.entry.via == self.me;
        let last = match kept.orphan_since {
            _ if own => kept.entry.heard,
            Some(since) => since,
            // The keeper that hears the node answers for it; only its own silence counts here.
            None => {
                let heard = self.keepers_heard.get(&kept.entry.via);
                heard.copied().unwrap_or(kept.entry.heard)
            }
        };
        let remove_after = if own || kept.orphan_since.is_some() {
            self.options.remove_after
        } else {
            self.options.remove_orphan_after
        };
        let silent = now.saturating_since(last);
        if silent >= remove_after {
            return None;
        }
        Some(if silent >= self.options.unheard_after {
            Contact::Unheard
        } else {
            kept.stated
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
            Change::Present { via, .. } => wanted(via),
            Change::Removed { silent_by, .. } => silent_by.as_ref().is_none_or(wanted),
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

    /// `advance` takes a change number that belongs to no node, so that other news can be sent to
    /// readers by the same cursor.
    pub fn advance(&mut self) -> u64 {
        self.change += 1;
        self.change
    }

    /// `keeper_heard` notes that the keeper `from` was heard without news.
    pub fn keeper_heard(&mut self, now: Millis, from: KeeperId) {
        self.keepers_heard.insert(from, now);
    }

    /// `capacity` counts the backend servers of `service` in `region` that are healthy or would be
    /// if they were not ejected. Crashed, cold and draining ones and unheard nodes do not count.
    pub fn capacity(&self, service: &ServiceName, region: &Region) -> u32 {
        let endpoints = self
            .nodes()
            .filter(|n| n.contact == Contact::Heard && n.report.zone.region == *region)
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
    pub(crate) fn put(
        &mut self,
        now: Millis,
        report: NodeReport,
        via: KeeperId,
        contact: Contact,
    ) -> bool {
        let node = report.node.clone();
        if let Some(kept) = self.nodes.get_mut(&node) {
            kept.stated = contact;
            kept.orphan_since = None;
            let entry = &mut kept.entry;
            entry.heard = now;
            let same = report.order() == entry.report.order();
            if same && entry.contact == contact && entry.via == via {
                return false;
            }
            entry.report = report;
            entry.contact = contact;
            entry.via = via;
        } else {
            let entry = NodeEntry {
                report,
                via,
                contact,
                heard: now,
                change: 0,
            };
            let kept = Kept {
                entry,
                stated: contact,
                orphan_since: None,
            };
            self.nodes.insert(node.clone(), kept);
        }
        if let Some(tombstone) = self.tombstones.remove(&node) {
            self.by_change.remove(&tombstone.change);
        }
        self.touch(&node);
        true
    }

    pub(crate) fn remove(
        &mut self,
        now: Millis,
        node: &NodeName,
        order: (Incarnation, u64),
        silent_by: Option<KeeperId>,
    ) {
        if let Some(kept) = self.nodes.get(node) {
            if kept.entry.report.order() > order {
                return;
            }
            self.by_change.remove(&kept.entry.change);
            self.nodes.remove(node);
        }
        if let Some(tombstone) = self.tombstones.get(node) {
            let left_since = tombstone.silent_by.is_some() && silent_by.is_none();
            if tombstone.order > order || tombstone.order == order && !left_since {
                return;
            }
            self.by_change.remove(&tombstone.change);
        }
        self.change += 1;
        self.by_change.insert(self.change, node.clone());
        let tombstone = Tombstone {
            order,
            silent_by,
            since: now,
            change: self.change,
        };
        self.tombstones.insert(node.clone(), tombstone);
    }

    fn touch(&mut self, node: &NodeName) {
        self.change += 1;
        if let Some(kept) = self.nodes.get_mut(node) {
            self.by_change.remove(&kept.entry.change);
            kept.entry.change = self.change;
            self.by_change.insert(self.change, node.clone());
        }
    }

    fn change_of(&self, node: &NodeName) -> Option<Change> {
        if let Some(Kept { entry, .. }) = self.nodes.get(node) {
            return Some(Change::Present {
                report: entry.report.clone(),
                via: entry.via,
                contact: entry.contact,
            });
        }
        self.tombstones.get(node).map(|t| Change::Removed {
            node: node.clone(),
            incarnation: t.order.0,
            sequence: t.order.1,
            silent_by: t.silent_by,
        })
    }

    fn drop_old_tombstones(&mut self, now: Millis) {
        let keep_for = self.options.tombstone_for;
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
