//! The keeper's settings file.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;
use shallothill_core::ids::{DataCentre, KeeperId, Region, Zone};
use shallothill_replica::ReplicaOptions;
use shallothill_runtime::settings::Common;

use crate::errors;

/// `KeeperSettings` names one keeper of the fleet and its addresses.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct KeeperSettings {
    /// The keeper.
    pub id: KeeperId,
    /// The region whose ledger group and ejection leases the keeper serves.
    pub region: Region,
    /// The data centre that it stands in.
    pub data_centre: DataCentre,
    /// Its address for nodes.
    pub control_address: SocketAddr,
    /// Its address for other keepers.
    pub peer_address: SocketAddr,
}

/// `LogTimes` holds the times of the config log; links between regions need longer ones than those
/// within one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct LogTimes {
    /// Milliseconds between two messages of the primary.
    pub heartbeat_ms: u64,
    /// Milliseconds without a primary after which a keeper stands for election.
    pub election_timeout_ms: u64,
    /// Milliseconds for which a majority's answers let the primary serve reads.
    pub lease_ms: u64,
}

impl Default for LogTimes {
    fn default() -> Self {
        Self {
            heartbeat_ms: 100,
            election_timeout_ms: 600,
            lease_ms: 400,
        }
    }
}

impl LogTimes {
    /// `apply` puts the times into the options of a replica.
    pub fn apply(&self, options: ReplicaOptions) -> ReplicaOptions {
        ReplicaOptions {
            heartbeat: Duration::from_millis(self.heartbeat_ms),
            election_timeout: Duration::from_millis(self.election_timeout_ms),
            lease: Duration::from_millis(self.lease_ms),
            ..options
        }
    }
}

/// `Settings` holds the settings of one keeper process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This keeper; without it, the number is the host's IPv4 address.
    #[serde(default)]
    pub id: KeeperId,
    /// The region whose ledger group and ejection leases this keeper serves.
    pub region: Region,
    /// The data centre that it stands in.
    pub data_centre: DataCentre,
    /// The folder that holds everything durable.
    pub data_dir: PathBuf,
    /// The address for nodes.
    pub control_address: SocketAddr,
    /// The address for other keepers.
    pub peer_address: SocketAddr,
    /// Settings that every process has.
    pub process: Common,
    /// The fixed list of regions over which idempotency keys are hashed.
    #[serde(default)]
    pub regions: Vec<Region>,
    /// All keepers, this one included, or none where they find each other through `seeds`.
    #[serde(default)]
    pub keepers: Vec<KeeperSettings>,
    /// Addresses of some keepers for other keepers, in place of `keepers`. All keepers then use the
    /// same ports and IPv4, and the first seeds form a new group. The ledger and ejection leases
    /// need `keepers`.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
    /// With `seeds`, how many keepers may be lost with their disks at the same time. Nothing is
    /// accepted before the group is large enough for it.
    #[serde(default)]
    pub tolerated_losses: usize,
    /// Times of the config log.
    #[serde(default)]
    pub log: LogTimes,
}

impl Settings {
    /// `check` refuses settings that contradict themselves.
    ///
    /// Fails with `Settings`.
    pub fn check(&self) -> errors::Result<()> {
        let fail = |message: String| errors::SettingsSnafu { message }.fail();
        if self.discovers() {
            if !self.keepers.is_empty() {
                return fail("`keepers` and `seeds` exclude each other; remove one".to_owned());
            }
            if self.discovered_id().is_none() {
                return fail(
                    "keepers that use `seeds` need an IPv4 `peer_address`; give one".to_owned(),
                );
            }
            return Ok(());
        }
        if self.regions.is_empty() {
            return fail("`regions` is empty; list the regions of the fleet".to_owned());
        }
        let ids: BTreeSet<KeeperId> = self.keepers.iter().map(|k| k.id).collect();
        if ids.len() != self.keepers.len() {
            return fail("`keepers` lists an id twice; give each keeper its own".to_owned());
        }
        let Some(me) = self.keepers.iter().find(|k| k.id == self.id) else {
            let id = self.id;
            return fail(format!("`keepers` lacks this keeper, {id}; add it there"));
        };
        if me.region != self.region {
            return fail(format!(
                "`region` is `{}` but `keepers` says `{}` for {}; make them equal",
                self.region, me.region, self.id
            ));
        }
        let regions = self.keepers.iter().map(|k| &k.region);
        for region in regions {
            if !self.regions.contains(region) {
                return fail(format!(
                    "`keepers` names the region `{region}`, which `regions` lacks; add it there"
                ));
            }
        }
        Ok(())
    }

    /// `discovers` tells whether keepers find each other through seeds.
    pub fn discovers(&self) -> bool {
        !self.seeds.is_empty()
    }

    /// `discovered_id` returns the number of this keeper where keepers find each other.
    pub fn discovered_id(&self) -> Option<KeeperId> {
        match self.peer_address.ip() {
            IpAddr::V4(ip) => Some(KeeperId::of_host(ip)),
            IpAddr::V6(_) => None,
        }
    }

    /// `with_id` fills in the number of a keeper that uses seeds.
    pub fn with_id(mut self) -> Self {
        if self.discovers()
            && let Some(id) = self.discovered_id()
        {
            self.id = id;
        }
        self
    }

    /// `zone` returns the place of this keeper.
    pub fn zone(&self) -> Zone {
        Zone {
            region: self.region.clone(),
            data_centre: self.data_centre.clone(),
        }
    }

    /// `members` returns all keepers in the order of their ids.
    pub fn members(&self) -> Vec<KeeperId> {
        let listed = self.keepers.iter().map(|k| k.id);
        let seeds = self.seeds.iter().map(|s| KeeperId::of_host(*s.ip()));
        let ids: BTreeSet<KeeperId> = listed.chain(seeds).collect();
        ids.into_iter().collect()
    }

    /// `ledger_group` returns the keepers that hold the keys of this keeper's region.
    pub fn ledger_group(&self) -> Vec<KeeperId> {
        let group = self.keepers.iter().filter(|k| k.region == self.region);
        let mut ids: BTreeSet<KeeperId> = group.map(|k| k.id).collect();
        ids.insert(self.id);
        ids.into_iter().collect()
    }

    /// `others` iterates over the other keepers.
    pub fn others(&self) -> impl Iterator<Item = &KeeperSettings> {
        self.keepers.iter().filter(|k| k.id != self.id)
    }
}
