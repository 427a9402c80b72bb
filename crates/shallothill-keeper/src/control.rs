//! The server of nodes' calls.

use std::sync::Arc;
use std::time::Duration;

use shallothill_core::idempotency::IdempotencyKey;
use shallothill_core::version::ConfigVersion;
use shallothill_directory::{Delta, LeaseReply, LeaseRequest, ReleaseRequest};
use shallothill_ledger::{
    Answer, ClaimReply, ClaimRequest, CompleteRequest, Refusal, WithdrawRequest,
};
use shallothill_wire::control::KeeperControl;
use shallothill_wire::crash::CrashNotice;
use shallothill_wire::keeper_info::KeeperInfo;
use shallothill_wire::report::{ReportReply, ReportRequest};
use shallothill_wire::watch::{SectionsReply, SectionsRequest, WatchReply, WatchRequest};
use tarpc::context::Context;

use crate::keeper::{Keeper, lock};
use crate::submit;

/// `WAIT_MAX` bounds a long poll, so that calls of nodes that are gone end.
const WAIT_MAX: Duration = Duration::from_secs(60);

/// `GATHER` is the time for which changes of the directory are gathered into one answer. Each of them
/// wakes every node: without it, hosts that start together cost the square of their number.
const GATHER: Duration = Duration::from_millis(200);

/// `ControlServer` answers nodes.
#[derive(Clone, Debug)]
pub struct ControlServer(pub Arc<Keeper>);

impl ControlServer {
    fn news(&self, req: &WatchRequest) -> Option<WatchReply> {
        let published = self.0.published.load();
        let config = published.update_since(req.config_version);
        let news = self.directory_news(req);
        let isolated = self.is_isolated();
        if config.is_none() && news.is_none() && isolated == req.isolated {
            return None;
        }
        let (directory, crashes) = match news {
            Some((delta, crashes)) => (Some(delta), crashes),
            None => (None, Vec::new()),
        };
        Some(WatchReply {
            config,
            config_version: published.version(),
            directory,
            crashes,
            isolated,
        })
    }

    // Nodes of keepers that the settings list compare versions instead.
    fn is_isolated(&self) -> bool {
        self.0.settings.discovers() && self.0.is_isolated()
    }

    // A keeper that was just started does not know all nodes yet. What it knows is sent at once, as
    // changes, because nodes that were started at the same time know nothing; the whole directory,
    // after which nodes drop everything that it does not list, follows when it is complete.
    fn directory_news(&self, req: &WatchRequest) -> Option<(Delta, Vec<CrashNotice>)> {
        let complete = self.0.knows_nodes();
        let cursor = req.cursor.filter(|_| req.complete || !complete);
        let news = lock(&self.0.node_registry).news(self.0.timer.now(), cursor);
        let (mut delta, crashes) = news?;
        delta.full &= complete;
        let empty = delta.changes.is_empty() && crashes.is_empty() && !delta.full;
        (!empty).then_some((delta, crashes))
    }

    // The thread ends only when the process does; a refusal makes the gate ask the others.
    fn refused(&self) -> ClaimReply {
        ClaimReply {
            member: self.0.settings.id,
            incarnation: self.0.ledger.state().incarnation,
            known: Default::default(),
            answer: Answer::Refused(Refusal::Recovering),
        }
    }

    // A key of another region must not be claimed here, whatever `regions` the gate has.
    fn is_home(&self, key: &IdempotencyKey) -> bool {
        let settings = &self.0.settings;
        if settings.discovers() {
            return false;
        }
        key.home(&settings.regions)
            .is_ok_and(|home| *home == settings.region)
    }
}

impl KeeperControl for ControlServer {
    async fn report(self, _: Context, req: ReportRequest) -> ReportReply {
        self.0
            .learn_from_node(req.config_version, req.report.peer_address);
        let summaries = self.0.update_node_registry(|now, m| m.report(now, req));
        ReportReply {
            config_version: self.0.published.load().version(),
            summaries,
        }
    }

    async fn watch(self, _: Context, req: WatchRequest) -> WatchReply {
        self.0.learn_version(req.config_version);
        let wait = Duration::from_millis(u64::from(req.wait_ms)).min(WAIT_MAX);
        let mut end = self.0.timer.after(wait);
        let mut gathered = self.0.timer.after(GATHER);
        let mut gathering = wait > GATHER;
        let mut news = self.0.news();
        loop {
            news.mark_unchanged();
            if let Some(reply) = self.news(&req)
                && (!gathering || reply.is_urgent() || reply.isolated != req.isolated)
            {
                return reply;
            }
            tokio::select! {
                _ = news.changed() => {}
                _ = &mut gathered, if gathering => gathering = false,
                _ = &mut end => {
                    return WatchReply {
                        config: None,
                        config_version: self.0.published.load().version(),
                        directory: None,
                        crashes: Vec::new(),
                        isolated: self.is_isolated(),
                    };
                }
            }
        }
    }

    async fn sections(self, _: Context, req: SectionsRequest) -> SectionsReply {
        self.0.sections(&req)
    }

    async fn confirmed_version(self, _: Context) -> Option<ConfigVersion> {
        let confirmed = submit::confirmed_version(&self.0).await.ok()?;
        self.0.learn_version(confirmed);
        Some(confirmed)
    }

    async fn isolated(self, _: Context) -> bool {
        self.is_isolated()
    }

    async fn keepers(self, _: Context) -> Vec<KeeperInfo> {
        self.0.known_keepers()
    }

    async fn claim(self, _: Context, req: ClaimRequest) -> ClaimReply {
        if !self.is_home(&req.key) {
            return self.refused();
        }
        let reply = self.0.ledger.claim(req).await;
        reply.unwrap_or_else(|| self.refused())
    }

    async fn query_key(self, _: Context, key: IdempotencyKey) -> ClaimReply {
        if !self.is_home(&key) {
            return self.refused();
        }
        let reply = self.0.ledger.query(key).await;
        reply.unwrap_or_else(|| self.refused())
    }

    async fn withdraw(self, _: Context, req: WithdrawRequest) -> bool {
        self.0.ledger.withdraw(req).await.unwrap_or(false)
    }

    async fn complete(self, _: Context, req: CompleteRequest) -> bool {
        self.0.ledger.complete(req).await.unwrap_or(false)
    }

    async fn lease(self, _: Context, req: LeaseRequest) -> LeaseReply {
        self.0.lease(&req)
    }

    async fn release(self, _: Context, req: ReleaseRequest) {
        lock(&self.0.leases).release(&req);
    }
}
