//! Polls the other keepers for their directory changes, loads and configuration versions.

use std::sync::Arc;
use std::time::Duration;

use shallothill_core::ids::KeeperId;
use shallothill_core::time::Millis;
use shallothill_directory::Cursor;
use tokio_util::sync::CancellationToken;
use tracing::debug;

use crate::keeper::Keeper;
use crate::peer::{SyncReply, SyncRequest};
use crate::peers::Peer;

/// `POLL_WAIT` is the longest time that another keeper waits for changes before it replies; three
/// of them fit the time after which a keeper counts as silent.
const POLL_WAIT: Duration = Duration::from_secs(2);

/// `CALL_TIMEOUT` bounds a poll; it leaves a reply without changes one second for the transfer.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// `RETRY_DELAY` is the delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// `LOADS_INTERVAL` is the time between two transfers of loads. With 1,100 services one has about
/// 100 KB, and links between regions are billed by volume.
const LOADS_INTERVAL: Duration = Duration::from_secs(10);

/// `poll_peer` polls the keeper `id` until `stop` is cancelled.
pub async fn poll_peer(keeper: Arc<Keeper>, id: KeeperId, stop: CancellationToken) {
    let Some(peer) = keeper.peers.get(id) else {
        return;
    };
    let mut poller = PeerPoller {
        keeper: &keeper,
        id,
        peer: &peer,
        cursor: None,
        loads_received_at: None,
        relay: Vec::new(),
    };
    loop {
        tokio::select! {
            () = poller.poll_once() => {}
            () = stop.cancelled() => return,
        }
    }
}

struct PeerPoller<'a> {
    keeper: &'a Keeper,
    id: KeeperId,
    peer: &'a Peer,
    cursor: Option<Cursor>,
    loads_received_at: Option<Millis>,
    relay: Vec<KeeperId>,
}

impl PeerPoller<'_> {
    async fn poll_once(&mut self) {
        let now = self.keeper.timer.now();
        let due = |at: Millis| now.saturating_since(at) >= LOADS_INTERVAL;
        let loads = self.loads_received_at.is_none_or(due);
        let mut relay = self.keeper.silent_keepers();
        relay.retain(|id| *id != self.id);
        if relay != self.relay {
            self.relay = relay;
            self.cursor = None;
        }
        let req = SyncRequest {
            from: self.keeper.settings.id,
            config_version: self.keeper.published.load().version(),
            cursor: self.cursor,
            relay: self.relay.clone(),
            loads,
            wait_ms: u32::try_from(POLL_WAIT.as_millis()).unwrap_or(u32::MAX),
        };
        let call = self
            .peer
            .peer_rpc
            .call(CALL_TIMEOUT, |client, cx| async move {
                client.sync(cx, req).await
            });
        match call.await {
            Ok(reply) => self.apply(reply),
            Err(e) => {
                debug!("sync: keeper {}: {e}", self.id);
                // The timer service ends only with the process.
                let _ = self.keeper.timer.after(RETRY_DELAY).await;
            }
        }
    }

    fn apply(&mut self, reply: SyncReply) {
        self.keeper.observe_version(reply.config_version);
        let id = self.id;
        if reply.loads.is_some() {
            self.loads_received_at = Some(self.keeper.timer.now());
        }
        if let Some(delta) = &reply.directory {
            self.cursor = Some(delta.cursor);
        }
        self.keeper.update_node_registry(|now, node_registry| {
            match reply.directory {
                Some(delta) => node_registry.directory.merge(now, id, delta),
                None => node_registry.directory.record_keeper_contact(now, id),
            }
            for relayed in self.relay.iter().filter(|id| reply.responsive.contains(id)) {
                node_registry.directory.record_keeper_contact(now, *relayed);
            }
            node_registry.add_crashes(now, reply.crashes);
            if let Some(shards) = reply.loads {
                node_registry.loads.merge(now, id, shards);
            }
        });
        self.keeper.record_answer(id);
    }
}
