//! What this keeper knows of nodes: directory, loads, crash notices and versions in force.

use std::collections::BTreeMap;

use shallothill_core::ids::{KeeperId, NodeName, Zone};
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::Millis;
use shallothill_core::version::ConfigVersion;
use shallothill_directory::{Contact, Cursor, Delta, Directory, DirectoryOptions, ServiceSummary};
use shallothill_wire::crash::CrashNotice;
use shallothill_wire::report::ReportRequest;

use crate::crashes::CrashTable;
use crate::loads::LoadTable;
use crate::peer::NodeVersion;

/// `NodeRegistry` is the state that reports of nodes change.
#[derive(Clone, Debug)]
pub struct NodeRegistry {
    /// Nodes and their backend servers.
    pub directory: Directory,
    /// Crash notices of the last minutes.
    pub crashes: CrashTable,
    /// Loads and summaries.
    pub loads: LoadTable,
    versions: BTreeMap<NodeName, ConfigVersion>,
}

impl NodeRegistry {
    /// `new` starts without knowledge of any node.
    pub fn new(me: KeeperId, incarnation: Incarnation) -> Self {
        Self {
            directory: Directory::new(me, incarnation, DirectoryOptions::default()),
            crashes: CrashTable::default(),
            loads: LoadTable::default(),
            versions: BTreeMap::new(),
        }
    }

    /// `report` applies a node's report and returns the summaries of its services.
    pub fn report(&mut self, now: Millis, req: ReportRequest) -> Vec<ServiceSummary> {
        self.learn_crashes(now, req.crashes);
        let node = req.report.node.clone();
        if req.leaving {
            self.versions.remove(&node);
            self.directory.leave(now, &node, req.report.order());
            return Vec::new();
        }
        self.versions.insert(node.clone(), req.config_version);
        self.directory.report(now, req.report);
        let summaries = self.loads.summaries(&req.loads);
        self.loads.report(now, &node, req.loads);
        summaries
    }

    /// `learn_crashes` keeps the notices that are not known yet.
    pub fn learn_crashes(&mut self, now: Millis, notices: Vec<CrashNotice>) {
        for notice in notices {
            if self.crashes.is_news(&notice) {
                let change = self.directory.advance();
                self.crashes.insert(now, change, notice);
            }
        }
    }

    /// `news` returns the changes and crash notices after `cursor`, or `None` when there are none.
    pub fn news(&self, now: Millis, cursor: Option<Cursor>) -> Option<(Delta, Vec<CrashNotice>)> {
        if cursor == Some(self.directory.cursor()) {
            return None;
        }
        let delta = self.directory.delta(cursor);
        let after = cursor.filter(|_| !delta.full).map_or(0, |c| c.change);
        let crashes = self.crashes.since(now, after);
        Some((delta, crashes))
    }

    /// `news_for_keeper` returns what is new for another keeper: the nodes that this keeper hears,
    /// and those of the keepers in `relay`.
    ///
    /// Changes that the other keeper gets elsewhere are no news; `even_none` returns their position
    /// all the same.
    pub fn news_for_keeper(
        &self,
        now: Millis,
        cursor: Option<Cursor>,
        relay: &[KeeperId],
        even_none: bool,
    ) -> Option<(Delta, Vec<CrashNotice>)> {
        if cursor == Some(self.directory.cursor()) {
            return None;
        }
        let delta = self.directory.delta_for_keeper(cursor, relay);
        let after = cursor.filter(|_| !delta.full).map_or(0, |c| c.change);
        let crashes = self.crashes.since(now, after);
        let news = delta.full || !delta.changes.is_empty() || !crashes.is_empty();
        (news || even_none).then_some((delta, crashes))
    }

    /// `node_versions` lists the nodes that report to this keeper with the version they act on.
    pub fn node_versions(&self, me: KeeperId) -> Vec<NodeVersion> {
        let own = self.directory.nodes().filter(|n| n.via == me);
        let listed = own.map(|entry| NodeVersion {
            node: entry.report.node.clone(),
            zone: entry.report.zone.clone(),
            config_version: match entry.contact {
                Contact::Heard => self.versions.get(&entry.report.node).copied(),
                Contact::Unheard => None,
            },
        });
        listed.collect()
    }

    /// `zones` lists all known nodes with their places.
    pub fn zones(&self) -> BTreeMap<NodeName, Zone> {
        let nodes = self.directory.nodes().map(|n| &n.report);
        nodes.map(|r| (r.node.clone(), r.zone.clone())).collect()
    }

    /// `expire` drops what is too old and refreshes the summaries; call it about once a second.
    pub fn expire(&mut self, now: Millis) {
        self.directory.expire(now);
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
