//! The keepers as the node reaches them.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use shallothill_core::ids::{KeeperId, Region, Zone};
use shallothill_wire::channel::RpcChannel;
use shallothill_wire::control::KeeperControlClient;

use crate::settings::KeeperAddress;

/// `Keeper` is one keeper.
#[derive(Debug)]
pub struct Keeper {
    id: KeeperId,
    zone: Zone,
    channel: RpcChannel<KeeperControlClient>,
    heard: AtomicBool,
}

impl Keeper {
    /// `id` returns the number of the keeper.
    pub fn id(&self) -> KeeperId {
        self.id
    }

    /// `channel` returns the connection.
    pub fn channel(&self) -> &RpcChannel<KeeperControlClient> {
        &self.channel
    }

    /// `note` records whether the last report or watch was answered.
    pub fn note(&self, heard: bool) {
        self.heard.store(heard, Ordering::Relaxed);
    }

    /// `heard` tells whether the last report or watch was answered.
    pub fn heard(&self) -> bool {
        self.heard.load(Ordering::Relaxed)
    }
}

/// `Keepers` lists all keepers, those of the own data centre first, then those of the own region.
#[derive(Debug)]
pub struct Keepers {
    all: Vec<Arc<Keeper>>,
    // The region whose ledger group and leases a keeper serves may differ from where it stands.
    serves: Vec<(Region, Arc<Keeper>)>,
}

impl Keepers {
    /// `new` orders `keepers` for a node at `zone`.
    pub fn new(zone: &Zone, keepers: &[KeeperAddress]) -> Self {
        let mut all = Vec::new();
        let mut serves = Vec::new();
        for k in keepers {
            let keeper = Arc::new(Keeper {
                id: k.id,
                zone: Zone {
                    region: k.region.clone(),
                    data_centre: k.data_centre.clone(),
                },
                channel: RpcChannel::new(k.control_address),
                heard: AtomicBool::new(false),
            });
            serves.push((k.region.clone(), Arc::clone(&keeper)));
            all.push(keeper);
        }
        all.sort_by_key(|k| {
            let distance = if k.zone.data_centre == zone.data_centre {
                0
            } else if k.zone.region == zone.region {
                1
            } else {
                2
            };
            (distance, k.id)
        });
        Self { all, serves }
    }

    /// `all` returns the keepers, nearest first.
    pub fn all(&self) -> &[Arc<Keeper>] {
        &self.all
    }

    /// `group` returns the keepers that serve the ledger and the leases of `region`.
    pub fn group(&self, region: &Region) -> Vec<Arc<Keeper>> {
        let members = self.serves.iter().filter(|(r, _)| r == region);
        members.map(|(_, k)| Arc::clone(k)).collect()
    }
}
