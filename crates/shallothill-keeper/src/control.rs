//! Serves the calls of nodes.

use std::sync::Arc;
use std::time::Duration;

use shallothill_core::idempotency::IdempotencyKey;
use shallothill_core::ids::NodeName;
use shallothill_core::version::ConfigVersion;
use shallothill_directory::{Delta, LeaseReply, LeaseRequest, ReleaseRequest};
use shallothill_ledger::{
    ClaimAnswer, ClaimRefusal, ClaimReply, ClaimRequest, CompleteRequest, WithdrawRequest,
};
use shallothill_policy::quota::{CreditReply, CreditRequest};
use shallothill_wire::control::KeeperControl;
use shallothill_wire::crash::CrashNotice;
use shallothill_wire::departures::{
    DeparturesReply, KeeperGroup, RecordDeparturesReply, RecordDeparturesRequest,
};
use shallothill_wire::keeper_info::KeeperInfo;
use shallothill_wire::report::{ReportReply, ReportRequest};
use shallothill_wire::watch::{SectionsReply, SectionsRequest, WatchReply, WatchRequest};
use tarpc::context::Context;

use crate::keeper::{Keeper, lock};
use crate::{credit, submit};

/// `LONG_POLL_MAX` bounds a long poll, so that the calls of lost nodes end.
const LONG_POLL_MAX: Duration = Duration::from_secs(60);

/// `DIRECTORY_BATCH_DELAY` is the time for which directory changes are collected into one reply.
/// Each reply goes to every node: without batching, `n` hosts that start together cause `n * n`
/// replies.
const DIRECTORY_BATCH_DELAY: Duration = Duration::from_millis(200);

/// `ControlServer` implements the service for nodes.
#[derive(Clone, Debug)]
pub struct ControlServer(pub Arc<Keeper>);

impl ControlServer {
    fn watch_reply(&self, req: &WatchRequest) -> Option<WatchReply> {
        let published = self.0.published.load();
        let config = published.update_since(req.config_version);
        let directory_changes = self.directory_changes(req);
        let isolated = self.is_isolated();
        if config.is_none() && directory_changes.is_none() && isolated == req.isolated {
            return None;
        }
        let (directory, crashes) = match directory_changes {
            Some((delta, crashes)) => (Some(delta), crashes),
            None => (None, Vec::new()),
        };
        Some(WatchReply {
            config,
            config_version: published.version(),
            directory,
            crashes,
            isolated,
            confirmed: None,
        })
    }

    // Returns at the first urgent change, or after `wait`.
    async fn wait_for_changes(&self, req: &WatchRequest, wait: Duration) -> WatchReply {
        let mut end = self.0.timer.after(wait);
        let mut batch_end = self.0.timer.after(DIRECTORY_BATCH_DELAY);
        let mut batching = wait > DIRECTORY_BATCH_DELAY;
        let mut updates = self.0.subscribe_changes();
        loop {
            updates.mark_unchanged();
            if let Some(reply) = self.watch_reply(req)
                && (!batching || reply.is_urgent() || reply.isolated != req.isolated)
            {
                return reply;
            }
            tokio::select! {
                _ = updates.changed() => {}
                _ = &mut batch_end, if batching => batching = false,
                _ = &mut end => {
                    return WatchReply {
                        config: None,
                        config_version: self.0.published.load().version(),
                        directory: None,
                        crashes: Vec::new(),
                        isolated: self.is_isolated(),
                        confirmed: None,
                    };
                }
            }
        }
    }

    fn group(&self) -> KeeperGroup {
        let replica = self.0.log.status().replica;
        let members = replica.map_or(0, |r| r.members.len());
        KeeperGroup {
            members: u32::try_from(members).unwrap_or(u32::MAX),
            keepers: match self.0.settings.uses_discovery() {
                true => self.0.known_keepers(),
                false => Vec::new(),
            },
        }
    }

    // Isolation matters only with discovery; nodes of a fixed list of keepers compare versions.
    fn is_isolated(&self) -> bool {
        self.0.settings.uses_discovery() && self.0.is_isolated()
    }

    // A keeper that was just started does not know all nodes yet. It sends the known ones at once
    // as changes, because nodes that were started at the same time know none. The full directory,
    // after which nodes drop everything that it does not list, follows when it is complete.
    fn directory_changes(&self, req: &WatchRequest) -> Option<(Delta, Vec<CrashNotice>)> {
        let complete = self.0.is_directory_complete();
        let cursor = req.cursor.filter(|_| req.complete || !complete);
        let changes = lock(&self.0.node_registry).changes_since(self.0.timer.now(), cursor);
        let (mut delta, crashes) = changes?;
        delta.full &= complete;
        let empty = delta.changes.is_empty() && crashes.is_empty() && !delta.full;
        (!empty).then_some((delta, crashes))
    }

    // Sent when the ledger's thread has ended, which ends the process too, or for a foreign key.
    // The refusal makes the gate ask the other keepers.
    fn refused_claim(&self) -> ClaimReply {
        ClaimReply {
            member: self.0.settings.id,
            incarnation: self.0.ledger.state().incarnation,
            known_incarnations: Default::default(),
            answer: ClaimAnswer::Refused(ClaimRefusal::Recovering),
        }
    }

    // A key of another region must not be claimed here, even if the gate's `regions` differ.
    fn is_home_region_of(&self, key: &IdempotencyKey) -> bool {
        let settings = &self.0.settings;
        if settings.uses_discovery() {
            return false;
        }
        key.home_region(&settings.regions)
            .is_ok_and(|home| *home == settings.region)
    }
}

impl KeeperControl for ControlServer {
    async fn report(self, _: Context, req: ReportRequest) -> ReportReply {
        self.0
            .observe_node_version(req.config_version, req.report.peer_address);
        let summaries = self.0.update_node_registry(|now, m| m.report(now, req));
        ReportReply {
            config_version: self.0.published.load().version(),
            summaries,
        }
    }

    async fn record_departures(
        self,
        _: Context,
        req: RecordDeparturesRequest,
    ) -> RecordDeparturesReply {
        let now = self.0.timer.now();
        let departures = &self.0.departures;
        RecordDeparturesReply {
            durable: departures.record(now, &req.node, req.departures).await,
            group: self.group(),
        }
    }

    async fn departures(self, _: Context, node: NodeName) -> DeparturesReply {
        DeparturesReply {
            departures: self.0.departures.of_node(&node),
            group: self.group(),
        }
    }

    async fn watch(self, _: Context, req: WatchRequest) -> WatchReply {
        let arrived = self.0.timer.now();
        self.0.observe_version(req.config_version);
        let wait = Duration::from_millis(u64::from(req.wait_ms)).min(LONG_POLL_MAX);
        if !req.confirm {
            return self.wait_for_changes(&req, wait).await;
        }
        self.0.confirmations.want_until(arrived + wait);
        let reply = self.wait_for_changes(&req, wait).await;
        WatchReply {
            confirmed: self.0.confirmations.latest(arrived),
            ..reply
        }
    }

    async fn sections(self, _: Context, req: SectionsRequest) -> SectionsReply {
        self.0.sections(&req)
    }

    async fn confirmed_version(self, _: Context) -> Option<ConfigVersion> {
        let confirmed = submit::confirmed_version(&self.0).await.ok()?;
        self.0.observe_version(confirmed);
        Some(confirmed)
    }

    async fn isolated(self, _: Context) -> bool {
        self.is_isolated()
    }

    async fn keepers(self, _: Context) -> Vec<KeeperInfo> {
        self.0.known_keepers()
    }

    async fn claim(self, _: Context, req: ClaimRequest) -> ClaimReply {
        if !self.is_home_region_of(&req.key) {
            return self.refused_claim();
        }
        let reply = self.0.ledger.claim(req).await;
        reply.unwrap_or_else(|| self.refused_claim())
    }

    async fn query_key(self, _: Context, key: IdempotencyKey) -> ClaimReply {
        if !self.is_home_region_of(&key) {
            return self.refused_claim();
        }
        let reply = self.0.ledger.query(key).await;
        reply.unwrap_or_else(|| self.refused_claim())
    }

    async fn withdraw(self, _: Context, req: WithdrawRequest) -> bool {
        self.0.ledger.withdraw(req).await.unwrap_or(false)
    }

    async fn complete(self, _: Context, req: CompleteRequest) -> bool {
        self.0.ledger.complete(req).await.unwrap_or(false)
    }

    async fn lease(self, _: Context, req: LeaseRequest) -> LeaseReply {
        self.0.request_lease(&req)
    }

    async fn credit(self, _: Context, req: CreditRequest) -> Option<CreditReply> {
        credit::serve_node(&self.0, req).await
    }

    async fn release(self, _: Context, req: ReleaseRequest) {
        lock(&self.0.leases).handle_release(&req);
    }
}
