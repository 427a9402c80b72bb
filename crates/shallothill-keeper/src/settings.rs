//! The keeper's settings file.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;
use shallothill_core::ids::{DataCentre, KeeperId, Region, Zone};
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

/// `Settings` holds the settings of one keeper process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This keeper.
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
    pub regions: Vec<Region>,
    /// All keepers, this one included.
    pub keepers: Vec<KeeperSettings>,
}

impl Settings {
    /// `check` refuses settings that contradict themselves.
    ///
    /// Fails with `Settings`.
    pub fn check(&self) -> errors::Result<()> {
        let fail = |message: String| errors::SettingsSnafu { message }.fail();
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

    /// `zone` returns the place of this keeper.
    pub fn zone(&self) -> Zone {
        Zone {
            region: self.region.clone(),
            data_centre: self.data_centre.clone(),
        }
    }

    /// `members` returns all keepers in the order of their ids.
    pub fn members(&self) -> Vec<KeeperId> {
        let ids: BTreeSet<KeeperId> = self.keepers.iter().map(|k| k.id).collect();
        ids.into_iter().collect()
    }

    /// `ledger_group` returns the keepers that hold the keys of this keeper's region.
    pub fn ledger_group(&self) -> Vec<KeeperId> {
        let group = self.keepers.iter().filter(|k| k.region == self.region);
        let ids: BTreeSet<KeeperId> = group.map(|k| k.id).collect();
        ids.into_iter().collect()
    }

    /// `others` iterates over the other keepers.
    pub fn others(&self) -> impl Iterator<Item = &KeeperSettings> {
        self.keepers.iter().filter(|k| k.id != self.id)
    }
}
