//! The other keepers, as the settings list them or as they are discovered.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use arc_swap::ArcSwap;
use shallothill_core::ids::{KeeperId, Region, Zone};
use shallothill_core::time::Millis;
use shallothill_wire::channel::RpcChannel;
use shallothill_wire::control::KeeperControlClient;

use crate::keeper::lock;
use crate::peer::KeeperPeerClient;
use crate::settings::Settings;

/// `Peer` holds the connections to another keeper.
#[derive(Debug)]
pub struct Peer {
    /// The region whose group it serves; `None` for a keeper that was discovered.
    pub region: Option<Region>,
    /// Its service for keepers.
    pub peer: RpcChannel<KeeperPeerClient>,
    /// Its service for nodes, which answers questions on keys.
    pub control: RpcChannel<KeeperControlClient>,
    /// When it answered a poll last.
    pub heard: Mutex<Option<Millis>>,
    /// When it answered a heartbeat of this keeper last.
    pub answered: Mutex<Option<Millis>>,
    /// The place that it stands in, once it is known.
    pub zone: Mutex<Option<Zone>>,
}

/// `Ports` are the ports that all keepers use where they are discovered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Ports {
    control: u16,
    peer: u16,
}

/// `Peers` holds the other keepers.
#[derive(Debug)]
pub struct Peers {
    me: KeeperId,
    ports: Option<Ports>,
    all: ArcSwap<BTreeMap<KeeperId, Arc<Peer>>>,
}

impl Peers {
    /// `new` starts with the keepers that `settings` list, or with the seeds.
    pub fn new(settings: &Settings) -> Self {
        let listed = settings.others().map(|k| {
            let zone = Zone {
                region: k.region.clone(),
                data_centre: k.data_centre.clone(),
            };
            let peer = Peer {
                region: Some(k.region.clone()),
                peer: RpcChannel::new(k.peer_address),
                control: RpcChannel::new(k.control_address),
                heard: Mutex::new(None),
                answered: Mutex::new(None),
                zone: Mutex::new(Some(zone)),
            };
            (k.id, Arc::new(peer))
        });
        let ports = settings.discovers().then(|| Ports {
            control: settings.control_address.port(),
            peer: settings.peer_address.port(),
        });
        let peers = Self {
            me: settings.id,
            ports,
            all: ArcSwap::from_pointee(listed.collect()),
        };
        if settings.discovers() {
            peers.set(&settings.members());
        }
        peers
    }

    /// `all` returns the other keepers.
    pub fn all(&self) -> Arc<BTreeMap<KeeperId, Arc<Peer>>> {
        self.all.load_full()
    }

    /// `get` returns one of the other keepers.
    pub fn get(&self, id: KeeperId) -> Option<Arc<Peer>> {
        self.all.load().get(&id).cloned()
    }

    /// `accepts` tells whether messages of the config log are taken from `from`.
    pub fn accepts(&self, from: KeeperId) -> bool {
        self.ports.is_some() || self.all.load().contains_key(&from)
    }

    /// `set` makes the discovered keepers those of `ids`; connections to those that stay are kept.
    /// Returns the new ones.
    pub fn set(&self, ids: &[KeeperId]) -> Vec<KeeperId> {
        let Some(ports) = self.ports else {
            return Vec::new();
        };
        let before = self.all();
        let mut next = BTreeMap::new();
        let mut new = Vec::new();
        for id in ids.iter().filter(|id| **id != self.me) {
            let peer = before.get(id).cloned().unwrap_or_else(|| {
                new.push(*id);
                Arc::new(discovered(*id, ports))
            });
            next.insert(*id, peer);
        }
        if !new.is_empty() || next.len() != before.len() {
            self.all.store(Arc::new(next));
        }
        new
    }

    /// `note_zone` records where a keeper stands.
    pub fn note_zone(&self, id: KeeperId, zone: &Zone) {
        if let Some(peer) = self.all.load().get(&id) {
            lock(&peer.zone).get_or_insert_with(|| zone.clone());
        }
    }

    /// `log_address` returns where messages of the config log for `id` go.
    pub fn log_address(&self, id: KeeperId) -> Option<SocketAddr> {
        let known = self.get(id).map(|peer| peer.peer.address());
        known.or_else(|| Some(SocketAddr::from((id.host(), self.ports?.peer))))
    }
}

fn discovered(id: KeeperId, ports: Ports) -> Peer {
    Peer {
        region: None,
        peer: RpcChannel::new(SocketAddr::from((id.host(), ports.peer))),
        control: RpcChannel::new(SocketAddr::from((id.host(), ports.control))),
        heard: Mutex::new(None),
        answered: Mutex::new(None),
        zone: Mutex::new(None),
    }
}
