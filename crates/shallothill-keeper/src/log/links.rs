//! Sends messages of the config log to the other keepers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use shallothill_core::ids::KeeperId;
use shallothill_replica::Message;
use shallothill_wire::channel::RpcChannel;
use tokio::sync::{Semaphore, mpsc};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::debug;

use crate::peer::KeeperPeerClient;
use crate::peers::Peers;

/// `QUEUE_MAX` bounds the messages that wait for one keeper; further ones are dropped, and the
/// replica sends them again.
const QUEUE_MAX: usize = 256;

/// `IN_FLIGHT_MAX` bounds the unanswered calls to one keeper. Several are allowed, so that a link
/// with 20 ms of latency does not limit the log to one message per round trip.
const IN_FLIGHT_MAX: usize = 32;

/// `CALL_TIMEOUT` bounds a call; the replica has no use for a later answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// `PeerLinks` holds a message queue with a sending task for each keeper that messages were sent
/// to.
#[derive(Debug)]
pub struct PeerLinks {
    me: KeeperId,
    peers: Arc<Peers>,
    tasks: TaskTracker,
    stop: CancellationToken,
    queues: BTreeMap<KeeperId, mpsc::Sender<Message>>,
}

impl PeerLinks {
    /// `new` starts without queues; the sending tasks end when `stop` is cancelled.
    pub fn new(
        me: KeeperId,
        peers: Arc<Peers>,
        tasks: &TaskTracker,
        stop: &CancellationToken,
    ) -> Self {
        Self {
            me,
            peers,
            tasks: tasks.clone(),
            stop: stop.clone(),
            queues: BTreeMap::new(),
        }
    }

    /// `send` queues a message, or drops it when the queue is full or the keeper has no address.
    pub fn send(&mut self, to: KeeperId, msg: Message) {
        if !self.queues.contains_key(&to) {
            let Some(address) = self.peers.log_address(to) else {
                return;
            };
            let queue = self.start_queue(address);
            self.queues.insert(to, queue);
        }
        if let Some(queue) = self.queues.get(&to)
            && queue.try_send(msg).is_err()
        {
            debug!("config: the message queue to keeper {to} is full");
        }
    }

    fn start_queue(&self, address: SocketAddr) -> mpsc::Sender<Message> {
        let (tx, rx) = mpsc::channel(QUEUE_MAX);
        let channel = Arc::new(RpcChannel::new(address));
        let (me, stop) = (self.me, self.stop.clone());
        self.tasks.spawn(async move {
            tokio::select! {
                () = send_queued(me, channel, rx) => {}
                () = stop.cancelled() => {}
            }
        });
        tx
    }
}

async fn send_queued(
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
