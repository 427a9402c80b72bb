//! Applies the changes of other keepers to a directory.

use std::collections::BTreeSet;

use shallothill_core::ids::{KeeperId, NodeName};
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::Millis;

use crate::delta::{Delta, DirectoryChange};
use crate::directory::Directory;
use crate::entry::Liveness;
use crate::report::NodeReport;

/// `RelayedReport` is a node's report that another keeper passes on.
struct RelayedReport {
    from: KeeperId,
    via: KeeperId,
    report: NodeReport,
    liveness: Liveness,
}

impl Directory {
    /// `merge` applies the changes of the keeper `from` and records that it answered.
    pub fn merge(&mut self, now: Millis, from: KeeperId, delta: Delta) {
        self.record_keeper_contact(now, from);
        if delta.full {
            self.mark_unlisted_nodes(now, from, &delta);
        }
        for change in delta.changes {
            match change {
                // For the nodes that report to this keeper, its own entry is the latest.
                DirectoryChange::Present { via, .. } if via == self.me => {}
                DirectoryChange::Present {
                    report,
                    via,
                    liveness,
                } => self.merge_present(
                    now,
                    RelayedReport {
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
                    timed_out_via,
                } => self.merge_removed(now, &node, (incarnation, sequence), timed_out_via),
            }
        }
    }

    // A restarted keeper lists only the nodes that report to it again. The others may have moved to
    // another keeper, so they stay for `remove_silent_after`.
    fn mark_unlisted_nodes(&mut self, now: Millis, from: KeeperId, delta: &Delta) {
        let listed: BTreeSet<&NodeName> = delta
            .changes
            .iter()
            .filter_map(|change| match change {
                DirectoryChange::Present { report, via, .. } if *via == from => Some(&report.node),
                _ => None,
            })
            .collect();
        for (node, tracked) in &mut self.nodes {
            if tracked.entry.via == from && !listed.contains(node) {
                tracked.unlisted_since.get_or_insert(now);
            }
        }
    }

    fn merge_present(&mut self, now: Millis, relayed: RelayedReport) {
        let order = relayed.report.order();
        if let Some(tombstone) = self.tombstones.get(&relayed.report.node)
            && (order < tombstone.order
                || order == tombstone.order && !may_restore(tombstone.timed_out_via, &relayed))
        {
            return;
        }
        if let Some(tracked) = self.nodes.get(&relayed.report.node) {
            let current = tracked.entry.report.order();
            // Only a keeper to which the node itself reports takes it over from this one.
            let reports_here = tracked.entry.via == self.me
                && tracked.entry.liveness == Liveness::Reporting
                && relayed.from != relayed.via;
            let reports_elsewhere = tracked.entry.via != relayed.via
                && tracked.entry.liveness == Liveness::Reporting
                && relayed.liveness == Liveness::Silent;
            if order < current || order == current && (reports_here || reports_elsewhere) {
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
        timed_out_via: Option<KeeperId>,
    ) {
        if let Some(tracked) = self.nodes.get(node) {
            let current = tracked.entry.report.order();
            // A timeout at one keeper does not count once the node reports to another one.
            let reports_elsewhere = timed_out_via.is_some_and(|via| via != tracked.entry.via);
            if current > order || current == order && reports_elsewhere {
                return;
            }
        }
        self.remove_node(now, node, order, timed_out_via);
    }
}

// After a removal for silence, the same report restores the node when the keeper that passes it on
// received it from the node itself, or when the node now reports to another keeper than before the
// removal. Otherwise the keeper that passes it on may not know of the removal yet.
fn may_restore(timed_out_via: Option<KeeperId>, relayed: &RelayedReport) -> bool {
    let is_newer = |via: KeeperId| relayed.from == relayed.via || relayed.via != via;
    relayed.liveness == Liveness::Reporting && timed_out_via.is_some_and(is_newer)
}
