//! Carries messages of the config log to the other keepers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::debug;
use shallothill_core::ids::KeeperId;
use shallothill_replica::Message;
use shallothill_wire::channel::RpcChannel;
use tokio::sync::{Semaphore, mpsc};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::peer::KeeperPeerClient;

/// `QUEUE_MAX` bounds the messages that wait for one keeper; more are dropped, and the replica
/// sends them again.
const QUEUE_MAX: usize = 256;

/// `IN_FLIGHT_MAX` bounds the calls to one keeper without an answer, so that a link with 20 ms of
/// latency does not limit the log to one message at a time.
const IN_FLIGHT_MAX: usize = 32;

/// `CALL_TIMEOUT` bounds a call; a later answer would be of no use to the replica.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// `Links` holds a queue for each other keeper.
#[derive(Debug)]
pub struct Links {
    queues: BTreeMap<KeeperId, mpsc::Sender<Message>>,
}

impl Links {
    /// `start` spawns a task for each keeper of `others` that ends when `stop` is cancelled.
    pub fn start(
        me: KeeperId,
        others: impl IntoIterator<Item = (KeeperId, SocketAddr)>,
        tasks: &TaskTracker,
        stop: &CancellationToken,
    ) -> Self {
        let mut queues = BTreeMap::new();
        for (id, address) in others {
            let (tx, rx) = mpsc::channel(QUEUE_MAX);
            let channel = Arc::new(RpcChannel::new(address));
            let stop = stop.clone();
            tasks.spawn(async move {
                tokio::select! {
                    () = run(me, channel, rx) => {}
                    () = stop.cancelled() => {}
                }
            });
            queues.insert(id, tx);
        }
        Self { queues }
    }

    /// `send` queues a message, or drops it when the queue is full.
    pub fn send(&self, to: KeeperId, msg: Message) {
        if let Some(queue) = self.queues.get(&to)
            && queue.try_send(msg).is_err()
        {
            debug!("config: the queue to keeper {to} is full");
        }
    }
}

async fn run(
    me: KeeperId,
    channel: Arc<RpcChannel<KeeperPeerClient>>,
    mut rx: mpsc::Receiver<Message>,
) {
    let permits = Arc::new(Semaphore::new(IN_FLIGHT_MAX));
    while let Some(msg) = rx.recv().await {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let channel = Arc::clone(&channel);
        tokio::spawn(async move {
            let call = channel.call(CALL_TIMEOUT, |client, cx| async move {
                client.replica(cx, me, msg).await
            });
            if let Err(e) = call.await {
                debug!("config: {e}");
            }
            drop(permit);
        });
    }
}
