//! Serves the calls of other keepers.

use std::sync::Arc;
use std::time::Duration;

use shallothill_core::ids::KeeperId;
use shallothill_core::version::ConfigVersion;
use shallothill_ledger::{RecoveryReply, RecoveryRequest};
use shallothill_policy::quota::{CreditReply, CreditRequest};
use shallothill_replica::Message;
use shallothill_wire::operator::{CurrentText, SubmitReply, SubmitRequest};
use shallothill_wire::watch::{ConfigUpdate, SectionsReply, SectionsRequest};
use tarpc::context::Context;
use tokio::sync::mpsc;

use crate::endpoint_departures::KnownDepartures;
use crate::forward::PatchedSubmit;
use crate::keeper::{Keeper, lock};
use crate::peer::{KeeperPeer, MeetReply, MeetRequest, PeerStatus, SyncReply, SyncRequest};
use crate::{credit, departure, status, submit};

/// `LONG_POLL_MAX` bounds a long poll of another keeper.
const LONG_POLL_MAX: Duration = Duration::from_secs(10);

/// `DIRECTORY_BATCH_DELAY` is the time for which directory changes are collected into one reply,
/// since links between regions are billed by volume.
const DIRECTORY_BATCH_DELAY: Duration = Duration::from_millis(200);

/// `PeerServer` implements the service for other keepers.
#[derive(Clone, Debug)]
pub struct PeerServer {
    /// State that the keeper's tasks share.
    pub keeper: Arc<Keeper>,
    /// Queue of messages for the driver of the config log.
    pub messages: mpsc::Sender<(KeeperId, Message)>,
}

impl PeerServer {
    fn sync_reply(&self, req: &SyncRequest, even_if_empty: bool) -> Option<SyncReply> {
        let config_version = self.keeper.published.load().version();
        let node_registry = lock(&self.keeper.node_registry);
        let now = self.keeper.timer.now();
        let changes = node_registry.changes_for_keeper(now, req.cursor, &req.relay, even_if_empty);
        let newer = config_version > req.config_version;
        if changes.is_none() && !newer && !even_if_empty {
            return None;
        }
        let (directory, crashes) = match changes {
            Some((delta, crashes)) => (Some(delta), crashes),
            None => (None, Vec::new()),
        };
        Some(SyncReply {
            config_version,
            directory,
            crashes,
            responsive: self.keeper.responsive_keepers(),
            loads: req.loads.then(|| node_registry.loads.own_shards().clone()),
        })
    }
}

impl KeeperPeer for PeerServer {
    async fn sync(self, _: Context, req: SyncRequest) -> SyncReply {
        self.keeper.observe_version(req.config_version);
        let wait = Duration::from_millis(u64::from(req.wait_ms)).min(LONG_POLL_MAX);
        let mut end = self.keeper.timer.after(wait);
        let mut batch_end = self.keeper.timer.after(DIRECTORY_BATCH_DELAY);
        let mut batching = wait > DIRECTORY_BATCH_DELAY && req.cursor.is_some();
        let mut updates = self.keeper.subscribe_changes();
        let mut ended = false;
        loop {
            updates.mark_unchanged();
            if let Some(reply) = self.sync_reply(&req, ended) {
                let urgent = reply.config_version > req.config_version || !reply.crashes.is_empty();
                if urgent || !batching {
                    return reply;
                }
            }
            tokio::select! {
                _ = updates.changed() => {}
                _ = &mut batch_end, if batching => batching = false,
                _ = &mut end => ended = true,
            }
        }
    }

    async fn config(self, _: Context, from: ConfigVersion) -> Option<ConfigUpdate> {
        self.keeper.observe_version(from);
        self.keeper.published.load().update_since(from)
    }

    async fn sections(self, _: Context, req: SectionsRequest) -> SectionsReply {
        self.keeper.sections(&req)
    }

    async fn status(self, _: Context) -> PeerStatus {
        status::local_status(&self.keeper)
    }

    async fn submit(self, _: Context, req: SubmitRequest) -> SubmitReply {
        submit::submit(&self.keeper, req, false).await
    }

    async fn submit_patch(self, _: Context, req: PatchedSubmit) -> Option<SubmitReply> {
        let base = lock(&self.keeper.state).text();
        let req = req.restore(&base)?;
        Some(submit::submit(&self.keeper, req, false).await)
    }

    async fn current(self, _: Context) -> Option<CurrentText> {
        submit::confirmed_text_if_primary(&self.keeper).await.ok()
    }

    async fn confirmed_version(self, _: Context) -> Option<ConfigVersion> {
        submit::confirmed_version_if_primary(&self.keeper)
            .await
            .ok()
    }

    async fn credit(self, _: Context, req: CreditRequest) -> Option<CreditReply> {
        credit::issue(&self.keeper, &req).await.ok().flatten()
    }

    async fn meet(self, _: Context, req: MeetRequest) -> MeetReply {
        let keeper = &self.keeper;
        keeper.peers.record_zone(req.from, &req.zone);
        let status = keeper.log.status();
        let is_primary = status.primary == Some(keeper.settings.id);
        let is_member = status
            .replica
            .is_some_and(|r| r.members.contains(&req.from));
        if is_primary && req.has_complete_log && !is_member {
            lock(&keeper.membership_planner).request_join(keeper.timer.now(), req.from);
        }
        MeetReply {
            zone: keeper.settings.zone(),
            primary: status.primary,
        }
    }

    async fn replica(self, _: Context, from: KeeperId, msg: Message) {
        if matches!(msg, Message::AppendReply { .. }) {
            self.keeper.record_heartbeat_answer(from);
        }
        if self.keeper.peers.accepts_from(from) {
            // A message is dropped while the driver is busy; the replica sends it again.
            let _ = self.messages.try_send((from, msg));
        }
    }

    async fn leave(self, _: Context, from: KeeperId) -> bool {
        departure::record_leave_request(&self.keeper, from)
    }

    async fn recover(self, _: Context, req: RecoveryRequest) -> Option<RecoveryReply> {
        self.keeper.ledger.recover(req).await
    }

    async fn departures(self, _: Context) -> KnownDepartures {
        self.keeper.departures.known()
    }
}
