//! The links to all peers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use tokio::time::Instant;

use crate::peer::{AttemptId, PeerLink, ProcessId};

/// `MAX_IDLE_TIME` is the time without requests after which the link to a peer is closed.
const MAX_IDLE_TIME: Duration = Duration::from_secs(60);

/// `PeerLinks` holds one link for each peer that was used recently.
#[derive(Debug)]
pub struct PeerLinks {
    process: ProcessId,
    last_attempt: AtomicU64,
    connect_timeout: Duration,
    links: RwLock<HashMap<SocketAddr, Arc<PeerLink>>>,
}

impl PeerLinks {
    /// `new` builds a set without links; each link connects within `connect_timeout` or fails.
    ///
    /// `process` identifies this process in the ids of its attempts.
    pub fn new(connect_timeout: Duration, process: ProcessId) -> Self {
        Self {
            process,
            last_attempt: AtomicU64::new(0),
            connect_timeout,
            links: RwLock::new(HashMap::new()),
        }
    }

    /// `next_attempt_id` returns an id that this process has not used before.
    pub fn next_attempt_id(&self) -> AttemptId {
        AttemptId {
            sender: self.process,
            number: self.last_attempt.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }

    /// `link` returns the link to the peer at `address` and builds it at the first call.
    pub fn link(&self, address: SocketAddr) -> Arc<PeerLink> {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(link) = links.get(&address) {
            return Arc::clone(link);
        }
        drop(links);
        let mut links = self.links.write().unwrap_or_else(PoisonError::into_inner);
        let new = || Arc::new(PeerLink::new(address, self.connect_timeout));
        Arc::clone(links.entry(address).or_insert_with(new))
    }

    /// `drop_idle` closes links without requests for 60 s; call it about once a minute.
    pub fn drop_idle(&self) {
        let now = Instant::now();
        let mut links = self.links.write().unwrap_or_else(PoisonError::into_inner);
        links.retain(|_, link| now - link.last_used() < MAX_IDLE_TIME);
    }

    /// `addresses` returns the peer addresses of all links, sorted.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        let mut all: Vec<SocketAddr> = links.keys().copied().collect();
        all.sort_unstable();
        all
    }
}
