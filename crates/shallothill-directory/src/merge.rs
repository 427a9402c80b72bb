//! Applies the changes of other keepers to a directory.

use std::collections::BTreeSet;

use shallothill_core::ids::{KeeperId, NodeName};
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::Millis;

use crate::delta::{Delta, DirectoryChange};
use crate::directory::Directory;
use crate::entry::Liveness;
use crate::report::NodeReport;

/// `Relayed` is what another keeper says about a node.
struct Relayed {
    from: KeeperId,
    via: KeeperId,
    report: NodeReport,
    liveness: Liveness,
}

impl Directory {
    /// `merge` applies the changes of another keeper and notes that it was heard.
    pub fn merge(&mut self, now: Millis, from: KeeperId, delta: Delta) {
        self.record_keeper_contact(now, from);
        if delta.full {
            self.mark_orphans(now, from, &delta);
        }
        for change in delta.changes {
            match change {
                // This keeper itself knows best which nodes it hears.
                DirectoryChange::Present { via, .. } if via == self.me => {}
                DirectoryChange::Present {
                    report,
                    via,
                    liveness,
                } => self.merge_present(
                    now,
                    Relayed {
                        from,
                        via,
                        report,
                        liveness,
                    },
                ),
                DirectoryChange::Removed {
                    node,
                    incarnation,
                    sequence,
                    timed_out_by,
                } => self.merge_removed(now, &node, (incarnation, sequence), timed_out_by),
            }
        }
    }

    // A keeper that was restarted lists only the nodes that report to it again. The others may
    // have moved to another keeper, so they get the time in which a silent node is removed.
    fn mark_orphans(&mut self, now: Millis, from: KeeperId, delta: &Delta) {
        let listed: BTreeSet<&NodeName> = delta
            .changes
            .iter()
            .filter_map(|change| match change {
                DirectoryChange::Present { report, via, .. } if *via == from => Some(&report.node),
                _ => None,
            })
            .collect();
        for (node, kept) in &mut self.nodes {
            if kept.entry.via == from && !listed.contains(node) {
                kept.unlisted_since.get_or_insert(now);
            }
        }
    }

    fn merge_present(&mut self, now: Millis, relayed: Relayed) {
        let order = relayed.report.order();
        if let Some(tombstone) = self.tombstones.get(&relayed.report.node)
            && (order < tombstone.order
                || order == tombstone.order && !revives(tombstone.timed_out_by, &relayed))
        {
            return;
        }
        if let Some(kept) = self.nodes.get(&relayed.report.node) {
            let known = kept.entry.report.order();
            // Only the keeper that hears the node takes it over from this one.
            let hears_itself = kept.entry.via == self.me
                && kept.entry.liveness == Liveness::Reporting
                && relayed.from != relayed.via;
            let moved_on = kept.entry.via != relayed.via
                && kept.entry.liveness == Liveness::Reporting
                && relayed.liveness == Liveness::Silent;
            if order < known || order == known && (hears_itself || moved_on) {
                return;
            }
        }
        self.store_report(now, relayed.report, relayed.via, relayed.liveness);
    }

    fn merge_removed(
        &mut self,
        now: Millis,
        node: &NodeName,
        order: (Incarnation, u64),
        timed_out_by: Option<KeeperId>,
    ) {
        if let Some(kept) = self.nodes.get(node) {
            let known = kept.entry.report.order();
            // The silence that one keeper noticed says nothing once another one hears the node.
            let moved_on = timed_out_by.is_some_and(|by| by != kept.entry.via);
            if known > order || known == order && moved_on {
                return;
            }
        }
        self.remove(now, node, order, timed_out_by);
    }
}

// After a removal for silence, the same report counts again when another keeper hears the node,
// or when the keeper that removed it says so itself; a third one may not know of the removal yet.
fn revives(timed_out_by: Option<KeeperId>, relayed: &Relayed) -> bool {
    let newer = |by: KeeperId| relayed.from == relayed.via || relayed.via != by;
    relayed.liveness == Liveness::Reporting && timed_out_by.is_some_and(newer)
}
