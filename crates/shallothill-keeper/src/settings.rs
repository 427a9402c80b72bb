//! The keeper's settings file.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;
use shallothill_core::ids::{DataCentre, KeeperId, Region, Zone};
use shallothill_policy::quota::CreditOptions;
use shallothill_replica::ReplicaOptions;
use shallothill_runtime::settings::Common;

use crate::errors;

/// `KeeperSettings` describes one keeper of the fleet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct KeeperSettings {
    /// The keeper's id, unique in the fleet.
    pub id: KeeperId,
    /// The region whose ledger group and ejection leases the keeper serves.
    pub region: Region,
    /// The data centre that the keeper is in.
    pub data_centre: DataCentre,
    /// Its address for nodes; other keepers query keys there.
    pub control_address: SocketAddr,
    /// Its address for other keepers.
    pub peer_address: SocketAddr,
}

/// `LogTimes` holds the intervals and timeouts of the config log. Links between regions need longer
/// ones than links within a region.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct LogTimes {
    /// Milliseconds between two heartbeats of the primary.
    pub heartbeat_ms: u64,
    /// Milliseconds without a heartbeat after which a keeper starts an election.
    pub election_timeout_ms: u64,
    /// Milliseconds after a majority's answers for which the primary may serve reads.
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
    /// `apply` returns `options` with these times.
    pub fn apply(&self, options: ReplicaOptions) -> ReplicaOptions {
        ReplicaOptions {
            heartbeat: Duration::from_millis(self.heartbeat_ms),
            election_timeout: Duration::from_millis(self.election_timeout_ms),
            lease: Duration::from_millis(self.lease_ms),
            ..options
        }
    }
}

/// `QuotaTolerance` states by how much the requests of a caller over all nodes may exceed its quota.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct QuotaTolerance {
    /// Milliseconds of the sliding window in which requests are counted.
    pub window_ms: u64,
    /// Percent of the requests that the quota allows in a window, which may be exceeded by them.
    pub overage_percent: u32,
    /// Requests by which a window may exceed the quota further.
    pub slack: u32,
}

impl Default for QuotaTolerance {
    fn default() -> Self {
        Self {
            window_ms: 5000,
            overage_percent: 10,
            slack: 20,
        }
    }
}

impl QuotaTolerance {
    /// `options` returns the tolerance in the form that the issuer of tokens takes.
    pub fn options(&self) -> CreditOptions {
        CreditOptions {
            window: Duration::from_millis(self.window_ms),
            overage_percent: self.overage_percent,
            slack: self.slack,
        }
    }
}

/// `Settings` holds the settings of one keeper process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Id of this keeper; with `seeds` it is derived from the IPv4 `peer_address` instead.
    #[serde(default)]
    pub id: KeeperId,
    /// The region whose ledger group and ejection leases this keeper serves.
    pub region: Region,
    /// The data centre that this keeper is in.
    pub data_centre: DataCentre,
    /// The folder for all durable data.
    pub data_dir: PathBuf,
    /// The address for nodes.
    pub control_address: SocketAddr,
    /// The address for other keepers.
    pub peer_address: SocketAddr,
    /// Settings that all kinds of processes share.
    pub process: Common,
    /// The fixed list of regions over which idempotency keys are hashed; may be empty with `seeds`.
    #[serde(default)]
    pub regions: Vec<Region>,
    /// All keepers, this one included; empty with `seeds`.
    #[serde(default)]
    pub keepers: Vec<KeeperSettings>,
    /// Peer addresses of some keepers, through which the keepers discover each other instead of
    /// listing `keepers`. All keepers then use IPv4 and the same ports, and the seeds at the first
    /// start form the new group. The ledger and ejection leases need `keepers`.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
    /// With `seeds`, the number of keepers that may be lost with their disks at the same time. No
    /// change is accepted before the group is large enough for it.
    #[serde(default)]
    pub tolerated_losses: usize,
    /// Intervals and timeouts of the config log.
    #[serde(default)]
    pub log: LogTimes,
    /// The tolerance of the quotas of callers.
    #[serde(default)]
    pub quotas: QuotaTolerance,
}

impl Settings {
    /// `check` validates the settings.
    ///
    /// Fails with `Settings` when they contradict themselves.
    pub fn check(&self) -> errors::Result<()> {
        let invalid = |message: String| errors::SettingsSnafu { message }.fail();
        if self.uses_discovery() {
            if !self.keepers.is_empty() {
                return invalid("`keepers` and `seeds` exclude each other; remove one".to_owned());
            }
            if self.discovered_id().is_none() {
                return invalid(
                    "keepers that use `seeds` need an IPv4 `peer_address`; give one".to_owned(),
                );
            }
            return Ok(());
        }
        if self.regions.is_empty() {
            return invalid("`regions` is empty; list the regions of the fleet".to_owned());
        }
        let ids: BTreeSet<KeeperId> = self.keepers.iter().map(|k| k.id).collect();
        if ids.len() != self.keepers.len() {
            return invalid("`keepers` lists an id twice; give each keeper its own".to_owned());
        }
        let Some(me) = self.keepers.iter().find(|k| k.id == self.id) else {
            let id = self.id;
            return invalid(format!("`keepers` lacks this keeper, {id}; add it there"));
        };
        if me.region != self.region {
            return invalid(format!(
                "`region` is `{}` but `keepers` says `{}` for {}; make them equal",
                self.region, me.region, self.id
            ));
        }
        let regions = self.keepers.iter().map(|k| &k.region);
        for region in regions {
            if !self.regions.contains(region) {
                return invalid(format!(
                    "`keepers` names the region `{region}`, which `regions` lacks; add it there"
                ));
            }
        }
        Ok(())
    }

    /// `uses_discovery` tells whether keepers discover each other through `seeds`.
    pub fn uses_discovery(&self) -> bool {
        !self.seeds.is_empty()
    }

    /// `discovered_id` returns the id that this keeper has with `seeds`; `None` without an IPv4
    /// `peer_address`.
    pub fn discovered_id(&self) -> Option<KeeperId> {
        match self.peer_address.ip() {
            IpAddr::V4(ip) => Some(KeeperId::from_host_ip(ip)),
            IpAddr::V6(_) => None,
        }
    }

    /// `with_discovered_id` sets `id` to the derived one if keepers discover each other.
    pub fn with_discovered_id(mut self) -> Self {
        if self.uses_discovery()
            && let Some(id) = self.discovered_id()
        {
            self.id = id;
        }
        self
    }

    /// `zone` returns the region and data centre of this keeper.
    pub fn zone(&self) -> Zone {
        Zone {
            region: self.region.clone(),
            data_centre: self.data_centre.clone(),
        }
    }

    /// `members` returns all keepers or, with discovery, the seeds, in the order of their ids.
    pub fn members(&self) -> Vec<KeeperId> {
        let listed = self.keepers.iter().map(|k| k.id);
        let seeds = self.seeds.iter().map(|s| KeeperId::from_host_ip(*s.ip()));
        let ids: BTreeSet<KeeperId> = listed.chain(seeds).collect();
        ids.into_iter().collect()
    }

    /// `ledger_group` returns the keepers that hold the idempotency keys of this keeper's region,
    /// this one included, in the order of their ids.
    pub fn ledger_group(&self) -> Vec<KeeperId> {
        let group = self.keepers.iter().filter(|k| k.region == self.region);
        let mut ids: BTreeSet<KeeperId> = group.map(|k| k.id).collect();
        ids.insert(self.id);
        ids.into_iter().collect()
    }

    /// `other_keepers` iterates over all listed keepers but this one.
    pub fn other_keepers(&self) -> impl Iterator<Item = &KeeperSettings> {
        self.keepers.iter().filter(|k| k.id != self.id)
    }
}
