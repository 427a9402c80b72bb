//! The directory of nodes and their backend servers at one keeper.

use std::collections::BTreeMap;

use shallothill_core::health::ServingState;
use shallothill_core::ids::{KeeperId, NodeName, Region, ServiceName};
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::Millis;

use crate::cursor::Cursor;
use crate::delta::{Change, Delta};
use crate::entry::{Contact, NodeEntry};
use crate::options::DirectoryOptions;
use crate::report::NodeReport;

#[derive(Clone, Debug)]
struct Tombstone {
    order: (Incarnation, u64),
    since: Millis,
    change: u64,
}

/// `Directory` holds the latest report of every node, heard directly or through other keepers.
///
/// Reports are ordered by (incarnation, sequence). A removed node leaves a tombstone, so that late
/// or repeated reports never bring a departed backend server back. A node that was only silent
/// may return with the sequence number that it had, because the number rises only with changes;
/// a node that said that it leaves may not.
#[derive(Clone, Debug)]
pub struct Directory {
    me: KeeperId,
    incarnation: Incarnation,
    options: DirectoryOptions,
    nodes: BTreeMap<NodeName, NodeEntry>,
    tombstones: BTreeMap<NodeName, Tombstone>,
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
    pub fn report(&mut self, now: Millis, report: NodeReport) -> bool {
        self.present(now, report, self.me, Contact::Heard, true)
    }

    /// `leave` removes a node that says that it leaves.
    pub fn leave(&mut self, now: Millis, node: &NodeName, order: (Incarnation, u64)) {
        // One above the last report, so that repeats of it are refused everywhere.
        self.remove(now, node, (order.0, order.1.saturating_add(1)));
    }

    /// `merge` applies the changes of another keeper and notes that it was heard.
    pub fn merge(&mut self, now: Millis, from: KeeperId, delta: Delta) {
        self.keepers_heard.insert(from, now);
        for change in delta.changes {
            match change {
                Change::Present {
                    report,
                    via,
                    contact,
                } => {
                    let first_hand = via == from && contact == Contact::Heard;
                    // What this keeper hears itself is replaced only by a newer report, or by
                    // the keeper that the node has moved to.
                    let own = self
                        .nodes
                        .get(&report.node)
                        .is_some_and(|e| e.via == self.me && e.report.order() >= report.order());
                    if via != self.me && (first_hand || !own) {
                        self.present(now, report, via, contact, first_hand);
                    }
                }
                Change::Removed {
                    node,
                    incarnation,
                    sequence,
                } => {
                    self.merge_removed(now, from, &node, (incarnation, sequence));
                }
            }
        }
    }

    // A removal at the order of the present entry means that `from` no longer hears the node. It
    // counts here only if this keeper relies on `from` for the node.
    fn merge_removed(
        &mut self,
        now: Millis,
        from: KeeperId,
        node: &NodeName,
        order: (Incarnation, u64),
    ) {
        let silent = self
            .nodes
            .get(node)
            .filter(|e| e.report.order() == order && e.via != from);
        match silent {
            None => self.remove(now, node, order),
            // The change makes `from` take the node over from here.
            Some(e) if e.via == self.me && e.contact == Contact::Heard => self.touch(node),
            Some(_) => {}
        }
    }

    /// `expire` marks and removes silent nodes; call it about once a second.
    pub fn expire(&mut self, now: Millis) {
        let mut unheard = Vec::new();
        let mut gone = Vec::new();
        for (node, entry) in &self.nodes {
            let own = entry.via == self.me;
            let heard = if own {
                entry.heard
            } else {
                // The keeper that hears the node answers for it; only its own silence counts here.
                self.keepers_heard
                    .get(&entry.via)
                    .copied()
                    .unwrap_or(entry.heard)
            };
            let silent = now.saturating_since(heard);
            let remove_after = if own {
                self.options.remove_after
            } else {
                self.options.remove_orphan_after
            };
            if silent >= remove_after {
                gone.push((node.clone(), entry.report.order()));
            } else if silent >= self.options.unheard_after && entry.contact == Contact::Heard {
                unheard.push(node.clone());
            }
        }
        for (node, order) in gone {
            self.remove(now, &node, order);
        }
        for node in unheard {
            if let Some(entry) = self.nodes.get_mut(&node) {
                entry.contact = Contact::Unheard;
            }
            self.touch(&node);
        }
        self.drop_old_tombstones(now);
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

    /// `cursor` returns the position after the last change.
    pub fn cursor(&self) -> Cursor {
        Cursor {
            keeper: self.me,
            incarnation: self.incarnation,
            change: self.change,
        }
    }

    /// `keeper_heard` notes that the keeper `from` was heard without news.
    pub fn keeper_heard(&mut self, now: Millis, from: KeeperId) {
        self.keepers_heard.insert(from, now);
    }

    /// `capacity` counts the backend servers of `service` in `region` that are healthy or would be
    /// if they were not ejected. Crashed, cold and draining ones and unheard nodes do not count.
    pub fn capacity(&self, service: &ServiceName, region: &Region) -> u32 {
        let endpoints = self
            .nodes
            .values()
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
        self.nodes.values()
    }

    fn present(
        &mut self,
        now: Millis,
        report: NodeReport,
        via: KeeperId,
        contact: Contact,
        first_hand: bool,
    ) -> bool {
        let node = report.node.clone();
        let order = report.order();
        let late = |t: &Tombstone| order < t.order || (order == t.order && !first_hand);
        if self.tombstones.get(&node).is_some_and(late) {
            return false;
        }
        if let Some(entry) = self.nodes.get_mut(&node) {
            let known = entry.report.order();
            if order < known {
                return false;
            }
            entry.heard = now;
            if order == known && entry.contact == contact && entry.via == via {
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
            self.nodes.insert(node.clone(), entry);
        }
        if let Some(tombstone) = self.tombstones.remove(&node) {
            self.by_change.remove(&tombstone.change);
        }
        self.touch(&node);
        true
    }

    fn remove(&mut self, now: Millis, node: &NodeName, order: (Incarnation, u64)) {
        if let Some(entry) = self.nodes.get(node) {
            if entry.report.order() > order {
                return;
            }
            self.by_change.remove(&entry.change);
            self.nodes.remove(node);
        }
        if self.tombstones.get(node).is_some_and(|t| t.order >= order) {
            return;
        }
        if let Some(tombstone) = self.tombstones.get(node) {
            self.by_change.remove(&tombstone.change);
        }
        self.change += 1;
        self.by_change.insert(self.change, node.clone());
        let tombstone = Tombstone {
            order,
            since: now,
            change: self.change,
        };
        self.tombstones.insert(node.clone(), tombstone);
    }

    fn touch(&mut self, node: &NodeName) {
        self.change += 1;
        if let Some(entry) = self.nodes.get_mut(node) {
            self.by_change.remove(&entry.change);
            entry.change = self.change;
            self.by_change.insert(self.change, node.clone());
        }
    }

    fn change_of(&self, node: &NodeName) -> Option<Change> {
        if let Some(entry) = self.nodes.get(node) {
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
