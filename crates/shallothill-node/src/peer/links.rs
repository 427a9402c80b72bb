//! The connections to all peers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use tokio::time::Instant;

use crate::peer::PeerLink;

/// `IDLE_MAX` is the time after which the connection to a peer without requests is closed.
const IDLE_MAX: Duration = Duration::from_secs(60);

/// `PeerLinks` holds one link for each peer that was used lately.
#[derive(Debug)]
pub struct PeerLinks {
    connect_timeout: Duration,
    links: RwLock<HashMap<SocketAddr, Arc<PeerLink>>>,
}

impl PeerLinks {
    /// `new` builds an empty set.
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            connect_timeout,
            links: RwLock::new(HashMap::new()),
        }
    }

    /// `link` returns the link to the peer at `address`.
    pub fn link(&self, address: SocketAddr) -> Arc<PeerLink> {
        let known = self.links.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(link) = known.get(&address) {
            return Arc::clone(link);
        }
        drop(known);
        let mut links = self.links.write().unwrap_or_else(PoisonError::into_inner);
        let new = || Arc::new(PeerLink::new(address, self.connect_timeout));
        Arc::clone(links.entry(address).or_insert_with(new))
    }

    /// `drop_idle` closes links that were not used lately; call it about once a minute.
    pub fn drop_idle(&self) {
        let now = Instant::now();
        let mut links = self.links.write().unwrap_or_else(PoisonError::into_inner);
        links.retain(|_, link| now - link.last_used() < IDLE_MAX);
    }

    /// `addresses` returns the addresses of all links, sorted.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        let mut all: Vec<SocketAddr> = links.keys().copied().collect();
        all.sort_unstable();
        all
    }
}
