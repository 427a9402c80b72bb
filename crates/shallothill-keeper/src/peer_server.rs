//! The server of other keepers' calls.

use std::sync::Arc;
use std::time::Duration;

use shallothill_core::version::ConfigVersion;
use shallothill_ledger::{RecoveryReply, RecoveryRequest};
use shallothill_wire::operator::{SubmitReply, SubmitRequest};
use shallothill_wire::watch::{ConfigUpdate, SectionsReply, SectionsRequest};
use tarpc::context::Context;

use crate::keeper::{Keeper, lock};
use crate::peer::{KeeperPeer, PeerStatus, SyncReply, SyncRequest};
use crate::{status, submit};

/// `WAIT_MAX` bounds a long poll of another keeper.
const WAIT_MAX: Duration = Duration::from_secs(10);

/// `PeerServer` answers other keepers.
#[derive(Clone, Debug)]
pub struct PeerServer(pub Arc<Keeper>);

impl PeerServer {
    fn sync_reply(&self, req: &SyncRequest, even_without_news: bool) -> Option<SyncReply> {
        let config_version = self.0.published.load().version();
        let membership = lock(&self.0.membership);
        let news = membership.news(self.0.timer.now(), req.cursor);
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
            loads: req.loads.then(|| membership.loads.own().clone()),
        })
    }
}

impl KeeperPeer for PeerServer {
    async fn sync(self, _: Context, req: SyncRequest) -> SyncReply {
        self.0.learn_version(req.config_version);
        let wait = Duration::from_millis(u64::from(req.wait_ms)).min(WAIT_MAX);
        let mut end = self.0.timer.after(wait);
        let mut news = self.0.news();
        let mut ended = false;
        loop {
            news.mark_unchanged();
            if let Some(reply) = self.sync_reply(&req, ended) {
                return reply;
            }
            tokio::select! {
                _ = news.changed() => {}
                _ = &mut end => ended = true,
            }
        }
    }

    async fn config(self, _: Context, from: ConfigVersion) -> Option<ConfigUpdate> {
        self.0.learn_version(from);
        self.0.published.load().update_since(from)
    }

    async fn sections(self, _: Context, req: SectionsRequest) -> SectionsReply {
        self.0.sections(&req)
    }

    async fn status(self, _: Context) -> PeerStatus {
        status::own(&self.0)
    }

    async fn submit(self, _: Context, req: SubmitRequest) -> SubmitReply {
        submit::submit(&self.0, req, false).await
    }

    async fn recover(self, _: Context, req: RecoveryRequest) -> Option<RecoveryReply> {
        self.0.ledger.recover(req).await
    }
}
