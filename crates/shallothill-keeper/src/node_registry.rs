//! The nodes of the fleet: their directory, loads, crash notices and configuration versions.

use std::collections::BTreeMap;

use shallothill_core::ids::{KeeperId, NodeName, Zone};
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::Millis;
use shallothill_core::version::ConfigVersion;
use shallothill_directory::{Cursor, Delta, Directory, DirectoryOptions, Liveness, ServiceSummary};
use shallothill_wire::crash::CrashNotice;
use shallothill_wire::report::ReportRequest;

use crate::crashes::CrashTable;
use crate::loads::LoadTable;
use crate::peer::NodeVersion;

/// `NodeRegistry` holds the state that nodes report to this and other keepers.
#[derive(Clone, Debug)]
pub struct NodeRegistry {
    /// The nodes and their backend servers.
    pub directory: Directory,
    /// Recent crash notices.
    pub crashes: CrashTable,
    /// Loads of the backend servers and their summaries.
    pub loads: LoadTable,
    versions: BTreeMap<NodeName, ConfigVersion>,
}

impl NodeRegistry {
    /// `new` builds an empty registry.
    pub fn new(me: KeeperId, incarnation: Incarnation) -> Self {
        Self {
            directory: Directory::new(me, incarnation, DirectoryOptions::default()),
            crashes: CrashTable::default(),
            loads: LoadTable::default(),
            versions: BTreeMap::new(),
        }
    }

    /// `report` applies a node's report and returns the summaries of the services in it. Of a report
    /// that is outdated, only the crash notices count, which have an age.
    pub fn report(&mut self, now: Millis, req: ReportRequest) -> Vec<ServiceSummary> {
        self.add_crashes(now, req.crashes);
        if self.directory.is_outdated(&req.report) {
            return self.loads.summaries(&req.loads);
        }
        let node = req.report.node.clone();
        if req.leaving {
            self.versions.remove(&node);
            self.directory.apply_leave(now, &node, req.report.order());
            return Vec::new();
        }
        self.versions.insert(node.clone(), req.config_version);
        self.directory.apply_report(now, req.report);
        let summaries = self.loads.summaries(&req.loads);
        self.loads.report(now, &node, req.loads);
        summaries
    }

    /// `add_crashes` stores the notices that are new and announces each as a directory change.
    pub fn add_crashes(&mut self, now: Millis, notices: Vec<CrashNotice>) {
        for notice in notices {
            if self.crashes.is_new(&notice) {
                let change = self.directory.allocate_change_number();
                self.crashes.insert(now, change, notice);
            }
        }
    }

    /// `changes_since` returns the directory changes and crash notices after `cursor`, or `None`
    /// when there are none.
    pub fn changes_since(
        &self,
        now: Millis,
        cursor: Option<Cursor>,
    ) -> Option<(Delta, Vec<CrashNotice>)> {
        if cursor == Some(self.directory.cursor()) {
            return None;
        }
        let delta = self.directory.delta(cursor);
        let after = cursor.filter(|_| !delta.full).map_or(0, |c| c.change);
        let crashes = self.crashes.since(now, after);
        Some((delta, crashes))
    }

    /// `changes_for_keeper` returns the changes after `cursor` for another keeper: those of the
    /// nodes that report to this keeper or to one of `relay`.
    ///
    /// It returns `None` when only nodes of further keepers changed, since the other keeper gets
    /// these changes from them; with `even_if_empty` it returns an empty delta with the new cursor
    /// instead.
    pub fn changes_for_keeper(
        &self,
        now: Millis,
        cursor: Option<Cursor>,
        relay: &[KeeperId],
        even_if_empty: bool,
    ) -> Option<(Delta, Vec<CrashNotice>)> {
        if cursor == Some(self.directory.cursor()) {
            return None;
        }
        let delta = self.directory.delta_for_keeper(cursor, relay);
        let after = cursor.filter(|_| !delta.full).map_or(0, |c| c.change);
        let crashes = self.crashes.since(now, after);
        let changed = delta.full || !delta.changes.is_empty() || !crashes.is_empty();
        (changed || even_if_empty).then_some((delta, crashes))
    }

    /// `node_versions` lists the nodes that report to this keeper, `me`, and the versions that they
    /// act on.
    pub fn node_versions(&self, me: KeeperId) -> Vec<NodeVersion> {
        let own = self.directory.nodes().filter(|n| n.via == me);
        let listed = own.map(|entry| NodeVersion {
            node: entry.report.node.clone(),
            zone: entry.report.zone.clone(),
            config_version: match entry.liveness {
                Liveness::Reporting => self.versions.get(&entry.report.node).copied(),
                Liveness::Silent => None,
            },
        });
        listed.collect()
    }

    /// `zones` returns the zones of all known nodes.
    pub fn zones(&self) -> BTreeMap<NodeName, Zone> {
        let nodes = self.directory.nodes().map(|n| &n.report);
        nodes.map(|r| (r.node.clone(), r.zone.clone())).collect()
    }

    /// `expire` drops old state and refreshes the load summaries; call it about once a second.
    pub fn expire(&mut self, now: Millis) {
        self.directory.expire_silent_nodes(now);
        self.crashes.expire(now);
        self.loads.refresh(now);
        let present: BTreeMap<&NodeName, ()> = self
            .directory
            .nodes()
            .map(|n| (&n.report.node, ()))
            .collect();
        self.versions.retain(|node, _| present.contains_key(node));
    }
}
