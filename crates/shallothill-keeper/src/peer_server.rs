//! The server of other keepers' calls.

use std::sync::Arc;
use std::time::Duration;

use shallothill_core::ids::KeeperId;
use shallothill_core::version::ConfigVersion;
use shallothill_ledger::{RecoveryReply, RecoveryRequest};
use shallothill_replica::Message;
use shallothill_wire::operator::{CurrentText, SubmitReply, SubmitRequest};
use shallothill_wire::watch::{ConfigUpdate, SectionsReply, SectionsRequest};
use tarpc::context::Context;
use tokio::sync::mpsc;

use crate::keeper::{Keeper, lock};
use crate::peer::{KeeperPeer, MeetReply, MeetRequest, PeerStatus, SyncReply, SyncRequest};
use crate::{departure, status, submit};

/// `WAIT_MAX` bounds a long poll of another keeper.
const WAIT_MAX: Duration = Duration::from_secs(10);

/// `GATHER` is the time for which changes of the directory are gathered into one answer, since links
/// between regions are billed by volume.
const GATHER: Duration = Duration::from_millis(200);

/// `PeerServer` answers other keepers.
#[derive(Clone, Debug)]
pub struct PeerServer {
    /// The shared state.
    pub keeper: Arc<Keeper>,
    /// Where messages of the config log go.
    pub messages: mpsc::Sender<(KeeperId, Message)>,
}

impl PeerServer {
    fn sync_reply(&self, req: &SyncRequest, even_without_news: bool) -> Option<SyncReply> {
        let config_version = self.keeper.published.load().version();
        let node_registry = lock(&self.keeper.node_registry);
        let now = self.keeper.timer.now();
        let news = node_registry.news_for_keeper(now, req.cursor, &req.relay, even_without_news);
        let newer = config_version > req.config_version;
        if news.is_none() && !newer && !even_without_news {
            return None;
        }
        let (directory, crashes) = match news {
            Some((delta, crashes)) => (Some(delta), crashes),
            None => (None, Vec::new()),
        };
        Some(SyncReply {
            config_version,
            directory,
            crashes,
            heard: self.keeper.heard_keepers(),
            loads: req.loads.then(|| node_registry.loads.own().clone()),
        })
    }
}

impl KeeperPeer for PeerServer {
    async fn sync(self, _: Context, req: SyncRequest) -> SyncReply {
        self.keeper.learn_version(req.config_version);
        let wait = Duration::from_millis(u64::from(req.wait_ms)).min(WAIT_MAX);
        let mut end = self.keeper.timer.after(wait);
        let mut gathered = self.keeper.timer.after(GATHER);
        let mut gathering = wait > GATHER && req.cursor.is_some();
        let mut news = self.keeper.news();
        let mut ended = false;
        loop {
            news.mark_unchanged();
            if let Some(reply) = self.sync_reply(&req, ended) {
                let urgent = reply.config_version > req.config_version || !reply.crashes.is_empty();
                if urgent || !gathering {
                    return reply;
                }
            }
            tokio::select! {
                _ = news.changed() => {}
                _ = &mut gathered, if gathering => gathering = false,
                _ = &mut end => ended = true,
            }
        }
    }

    async fn config(self, _: Context, from: ConfigVersion) -> Option<ConfigUpdate> {
        self.keeper.learn_version(from);
        self.keeper.published.load().update_since(from)
    }

    async fn sections(self, _: Context, req: SectionsRequest) -> SectionsReply {
        self.keeper.sections(&req)
    }

    async fn status(self, _: Context) -> PeerStatus {
        status::own(&self.keeper)
    }

    async fn submit(self, _: Context, req: SubmitRequest) -> SubmitReply {
        submit::submit(&self.keeper, req, false).await
    }

    async fn current(self, _: Context) -> Option<CurrentText> {
        submit::confirmed_text_if_primary(&self.keeper).await.ok()
    }

    async fn confirmed_version(self, _: Context) -> Option<ConfigVersion> {
        submit::confirmed_version_if_primary(&self.keeper)
            .await
            .ok()
    }

    async fn meet(self, _: Context, req: MeetRequest) -> MeetReply {
        let keeper = &self.keeper;
        keeper.peers.note_zone(req.from, &req.zone);
        let status = keeper.log.status();
        let leads = status.primary == Some(keeper.settings.id);
        let member = status
            .replica
            .is_some_and(|r| r.members.contains(&req.from));
        if leads && req.whole && !member {
            lock(&keeper.membership_planner).request_join(keeper.timer.now(), req.from);
        }
        MeetReply {
            zone: keeper.settings.zone(),
            primary: status.primary,
        }
    }

    async fn replica(self, _: Context, from: KeeperId, msg: Message) {
        if matches!(msg, Message::AppendReply { .. }) {
            self.keeper.answered(from);
        }
        if self.keeper.peers.accepts(from) {
            // The replica repeats what is dropped while the driver is busy.
            let _ = self.messages.try_send((from, msg));
        }
    }

    async fn leave(self, _: Context, from: KeeperId) -> bool {
        departure::ask(&self.keeper, from)
    }

    async fn recover(self, _: Context, req: RecoveryRequest) -> Option<RecoveryReply> {
        self.keeper.ledger.recover(req).await
    }
}
