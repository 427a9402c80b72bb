//! The list of keepers and the connections to them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwap;
use shallothill_core::ids::{KeeperId, Region, Zone};
use shallothill_wire::channel::RpcChannel;
use shallothill_wire::control::KeeperControlClient;
use shallothill_wire::keeper_info::KeeperInfo;

use crate::settings::KeeperAddress;

/// `Keeper` holds the address, connection and reachability of one keeper.
#[derive(Debug)]
pub struct Keeper {
    info: KeeperInfo,
    /// The region whose ledger group and leases the keeper serves; it may differ from the region
    /// that the keeper is in. `None` for a keeper that was discovered.
    group_region: Option<Region>,
    channel: RpcChannel<KeeperControlClient>,
    reachable: AtomicBool,
}

impl Keeper {
    fn new(info: KeeperInfo, group_region: Option<Region>) -> Self {
        Self {
            channel: RpcChannel::new(info.control_address),
            info,
            group_region,
            reachable: AtomicBool::new(false),
        }
    }

    /// `id` returns the number that identifies the keeper among all keepers.
    pub fn id(&self) -> KeeperId {
        self.info.id
    }

    /// `control_address` returns the address at which the keeper serves nodes.
    pub fn control_address(&self) -> SocketAddr {
        self.info.control_address
    }

    /// `channel` returns the connection for calls, which is opened by the first of them.
    pub fn channel(&self) -> &RpcChannel<KeeperControlClient> {
        &self.channel
    }

    /// `set_reachable` records whether the keeper answered the last call; reports, watches and
    /// discovery call it.
    pub fn set_reachable(&self, reachable: bool) {
        self.reachable.store(reachable, Ordering::Relaxed);
    }

    /// `is_reachable` tells whether the keeper answered the last call; false before the first one.
    pub fn is_reachable(&self) -> bool {
        self.reachable.load(Ordering::Relaxed)
    }
}

/// `Keepers` lists all keepers, those of the own data centre first, then those of the own region.
///
/// The list comes from the settings and stays, or starts empty and is discovered through seeds.
#[derive(Debug)]
pub struct Keepers {
    zone: Zone,
    uses_discovery: bool,
    all: ArcSwap<Vec<Arc<Keeper>>>,
    seeds: ArcSwap<Vec<SocketAddr>>,
}

impl Keepers {
    /// `new` lists `keepers`, ordered for a node in `zone`.
    pub fn new(zone: &Zone, keepers: &[KeeperAddress]) -> Self {
        let to_keeper = |k: &KeeperAddress| {
            let info = KeeperInfo {
                id: k.id,
                zone: Zone {
                    region: k.region.clone(),
                    data_centre: k.data_centre.clone(),
                },
                control_address: k.control_address,
            };
            Arc::new(Keeper::new(info, Some(k.region.clone())))
        };
        let mut all: Vec<Arc<Keeper>> = keepers.iter().map(to_keeper).collect();
        sort_by_distance(zone, &mut all);
        Self {
            zone: zone.clone(),
            uses_discovery: false,
            all: ArcSwap::from_pointee(all),
            seeds: ArcSwap::default(),
        }
    }

    /// `from_seeds` starts with an empty list; `seeds` are control addresses of some keepers.
    pub fn from_seeds(zone: &Zone, seeds: &[SocketAddr]) -> Self {
        Self {
            uses_discovery: true,
            seeds: ArcSwap::from_pointee(seeds.to_vec()),
            ..Self::new(zone, &[])
        }
    }

    /// `uses_discovery` tells whether the list is discovered through seeds.
    pub fn uses_discovery(&self) -> bool {
        self.uses_discovery
    }

    /// `seeds` returns the addresses at which discovery looks for keepers.
    pub fn seeds(&self) -> Arc<Vec<SocketAddr>> {
        self.seeds.load_full()
    }

    /// `set_seeds` replaces the seeds; keepers that are already listed stay.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.seeds.store(Arc::new(seeds));
    }

    /// `replace` replaces the list and keeps the connections to keepers that stay in it. Returns
    /// whether a keeper was added or removed.
    pub fn replace(&self, infos: Vec<KeeperInfo>) -> bool {
        let before = self.all();
        let to_keeper = |info: KeeperInfo| {
            let known = before.iter().find(|k| k.info == info);
            known.map_or_else(|| Arc::new(Keeper::new(info, None)), Arc::clone)
        };
        let mut all: Vec<Arc<Keeper>> = infos.into_iter().map(to_keeper).collect();
        sort_by_distance(&self.zone, &mut all);
        all.dedup_by_key(|k| k.id());
        let ids = |list: &[Arc<Keeper>]| list.iter().map(|k| k.id()).collect::<Vec<_>>();
        let changed = ids(&before) != ids(&all);
        self.all.store(Arc::new(all));
        changed
    }

    /// `add` adds the keepers that are not in the list. Returns whether there were any.
    pub fn add(&self, infos: Vec<KeeperInfo>) -> bool {
        let all = self.all();
        let known = |info: &KeeperInfo| all.iter().any(|k| k.id() == info.id);
        let new = infos.into_iter().filter(|info| !known(info));
        let mut infos: Vec<KeeperInfo> = new.collect();
        if infos.is_empty() {
            return false;
        }
        infos.extend(all.iter().map(|k| k.info.clone()));
        self.replace(infos)
    }

    /// `all` returns all keepers, the nearest first.
    pub fn all(&self) -> Arc<Vec<Arc<Keeper>>> {
        self.all.load_full()
    }

    /// `has_same_region_keeper` tells whether the list has a keeper of the own region.
    pub fn has_same_region_keeper(&self) -> bool {
        let all = self.all();
        all.iter().any(|k| k.info.zone.region == self.zone.region)
    }

    /// `group` returns the keepers that serve the ledger and the leases of `region`. It is empty
    /// where keepers are discovered, because the members of such a group must not change by
    /// themselves.
    pub fn group(&self, region: &Region) -> Vec<Arc<Keeper>> {
        let all = self.all();
        let members = all
            .iter()
            .filter(|k| k.group_region.as_ref() == Some(region));
        members.cloned().collect()
    }
}

fn sort_by_distance(zone: &Zone, keepers: &mut [Arc<Keeper>]) {
    keepers.sort_by_key(|k| {
        let distance = if k.info.zone.data_centre == zone.data_centre {
            0
        } else if k.info.zone.region == zone.region {
            1
        } else {
            2
        };
        (distance, k.id())
    });
}
