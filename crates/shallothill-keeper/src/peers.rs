//! Connections to the other keepers, which the settings list or which are discovered.

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

/// `Peer` holds the connections to another keeper and its last answers.
#[derive(Debug)]
pub struct Peer {
    /// The region whose ledger group it serves; `None` for a discovered keeper.
    pub region: Option<Region>,
    /// Client of its service for keepers.
    pub peer_rpc: RpcChannel<KeeperPeerClient>,
    /// Client of its service for nodes, used to query keys.
    pub control_rpc: RpcChannel<KeeperControlClient>,
    /// Time of its last answer to a poll; `None` before the first one.
    pub last_answer: Mutex<Option<Millis>>,
    /// Time of its last answer to a heartbeat of this keeper; `None` before the first one.
    pub last_heartbeat_answer: Mutex<Option<Millis>>,
    /// Its zone; `None` until it is known.
    pub zone: Mutex<Option<Zone>>,
}

/// `Ports` holds the ports that all keepers use where they discover each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Ports {
    control: u16,
    peer: u16,
}

/// `Peers` holds the connections to all other keepers.
#[derive(Debug)]
pub struct Peers {
    me: KeeperId,
    ports: Option<Ports>,
    all: ArcSwap<BTreeMap<KeeperId, Arc<Peer>>>,
}

impl Peers {
    /// `new` starts with the keepers that `settings` lists, or with its seeds.
    pub fn new(settings: &Settings) -> Self {
        let listed = settings.other_keepers().map(|k| {
            let zone = Zone {
                region: k.region.clone(),
                data_centre: k.data_centre.clone(),
            };
            let peer = Peer {
                region: Some(k.region.clone()),
                peer_rpc: RpcChannel::new(k.peer_address),
                control_rpc: RpcChannel::new(k.control_address),
                last_answer: Mutex::new(None),
                last_heartbeat_answer: Mutex::new(None),
                zone: Mutex::new(Some(zone)),
            };
            (k.id, Arc::new(peer))
        });
        let ports = settings.uses_discovery().then(|| Ports {
            control: settings.control_address.port(),
            peer: settings.peer_address.port(),
        });
        let peers = Self {
            me: settings.id,
            ports,
            all: ArcSwap::from_pointee(listed.collect()),
        };
        if settings.uses_discovery() {
            peers.set_discovered(&settings.members());
        }
        peers
    }

    /// `all` returns the other keepers as of now; later changes are not visible in it.
    pub fn all(&self) -> Arc<BTreeMap<KeeperId, Arc<Peer>>> {
        self.all.load_full()
    }

    /// `get` returns the keeper `id`, or `None` if it is unknown or this keeper.
    pub fn get(&self, id: KeeperId) -> Option<Arc<Peer>> {
        self.all.load().get(&id).cloned()
    }

    /// `accepts_from` tells whether messages of the config log from the keeper `from` are accepted.
    /// With discovery they are accepted from all keepers.
    pub fn accepts_from(&self, from: KeeperId) -> bool {
        self.ports.is_some() || self.all.load().contains_key(&from)
    }

    /// `set_discovered` replaces the discovered keepers by `ids` and returns the new ones. It keeps
    /// the connections to keepers that were known before, and does nothing without discovery.
    pub fn set_discovered(&self, ids: &[KeeperId]) -> Vec<KeeperId> {
        let Some(ports) = self.ports else {
            return Vec::new();
        };
        let before = self.all();
        let mut next = BTreeMap::new();
        let mut added = Vec::new();
        for id in ids.iter().filter(|id| **id != self.me) {
            let peer = before.get(id).cloned().unwrap_or_else(|| {
                added.push(*id);
                Arc::new(discovered_peer(*id, ports))
            });
            next.insert(*id, peer);
        }
        if !added.is_empty() || next.len() != before.len() {
            self.all.store(Arc::new(next));
        }
        added
    }

    /// `record_zone` records the zone of a keeper, unless it is known already.
    pub fn record_zone(&self, id: KeeperId, zone: &Zone) {
        if let Some(peer) = self.all.load().get(&id) {
            lock(&peer.zone).get_or_insert_with(|| zone.clone());
        }
    }

    /// `log_address` returns the address for messages of the config log to `id`; `None` for an
    /// unknown keeper without discovery.
    pub fn log_address(&self, id: KeeperId) -> Option<SocketAddr> {
        let address = self.get(id).map(|peer| peer.peer_rpc.address());
        address.or_else(|| Some(SocketAddr::from((id.host_ip(), self.ports?.peer))))
    }
}

fn discovered_peer(id: KeeperId, ports: Ports) -> Peer {
    Peer {
        region: None,
        peer_rpc: RpcChannel::new(SocketAddr::from((id.host_ip(), ports.peer))),
        control_rpc: RpcChannel::new(SocketAddr::from((id.host_ip(), ports.control))),
        last_answer: Mutex::new(None),
        last_heartbeat_answer: Mutex::new(None),
        zone: Mutex::new(None),
    }
}
