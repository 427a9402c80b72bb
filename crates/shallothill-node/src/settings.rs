//! The settings of a node.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use shallothill_core::ids::{DataCentre, KeeperId, NodeName, Region, ServiceName, Zone};
use shallothill_runtime::memory::MemoryOptions;
use shallothill_runtime::settings;

use crate::errors;

/// `Settings` is the content of the settings file.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the node.
    pub node: NodeName,
    /// The region that the node is in.
    pub region: Region,
    /// The data centre that the node is in.
    pub data_centre: DataCentre,
    /// The address that callers connect to.
    pub caller_address: SocketAddr,
    /// The address that other nodes connect to. They use it unchanged, so it must name the host and
    /// not be unspecified (`0.0.0.0`).
    pub peer_address: SocketAddr,
    /// The address at which backend servers of this host announce themselves.
    pub announce_address: SocketAddr,
    /// The settings that all kinds of processes share.
    pub process: settings::Common,
    /// The service of this host, sent to backend servers as the origin of requests from this node.
    #[serde(default)]
    pub host_service: Option<ServiceName>,
    /// The regions over which idempotency keys are hashed; must be the same in all processes.
    #[serde(default)]
    pub regions: Vec<Region>,
    /// All keepers, or none if they are discovered through `seeds`.
    #[serde(default)]
    pub keepers: Vec<KeeperAddress>,
    /// The control addresses of some keepers, instead of `keepers`. Routes whose requests run at
    /// most once for each key need `keepers`.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Limits on connections, memory and times.
    #[serde(default)]
    pub bounds: Bounds,
}

/// `KeeperAddress` is the id, place and address of one keeper.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct KeeperAddress {
    /// The number that identifies the keeper among all keepers.
    pub id: KeeperId,
    /// The region whose ledger group and ejection leases the keeper serves.
    pub region: Region,
    /// The data centre that the keeper is in.
    pub data_centre: DataCentre,
    /// The address at which the keeper serves nodes.
    pub control_address: SocketAddr,
}

/// `Bounds` holds limits on connections, memory and times.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// The largest number of connections from callers.
    pub caller_connections: usize,
    /// The largest number of connections from other nodes.
    pub peer_connections: usize,
    /// The largest number of connections from backend servers to the announce address.
    pub announce_connections: usize,
    /// The largest number of concurrent streams of one HTTP/2 connection.
    pub streams: u32,
    /// The largest size of a request's path and headers, in bytes; a larger one gets status 431.
    pub header_bytes: usize,
    /// The largest request body, in bytes, that is buffered for further attempts; larger ones are
    /// streamed and sent once.
    pub buffered_body_bytes: usize,
    /// The largest total of heads, bodies and unread responses in memory, in bytes.
    pub buffered_total_bytes: usize,
    /// The least progress of a caller or node that this node waits for, in bytes a second.
    pub min_bytes_per_s: u64,
    /// Milliseconds for which a caller or node may stay behind that progress.
    pub stall_limit_ms: u64,
    /// Milliseconds in which the headers of a request must arrive.
    pub header_timeout_ms: u64,
    /// Milliseconds after which an idle connection is closed.
    pub idle_timeout_ms: u64,
    /// Milliseconds in which a connection to another node or a backend server must open.
    pub connect_timeout_ms: u64,
    /// Milliseconds for which a gate waits for the answers to a claim.
    pub claim_timeout_ms: u64,
    /// Milliseconds for which an announcement is valid unless it is renewed.
    pub announce_lease_ms: u64,
    /// Milliseconds for which a stopping node still accepts callers, so that they can move to
    /// another node.
    pub lame_duck_ms: u64,
    /// Milliseconds for which a stopping node waits for requests in flight.
    pub stop_timeout_ms: u64,
    /// Milliseconds after the acknowledgement of a version from which requests with keys must not
    /// run on an older one; `None` for no bound.
    pub max_config_age_ms: Option<u64>,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            caller_connections: 4096,
            peer_connections: 4096,
            announce_connections: 256,
            streams: 1024,
            header_bytes: 16 * 1024,
            buffered_body_bytes: 256 * 1024,
            // With the 64 MB for the configuration and 16 MB for the program, this leaves a fifth of
            // the 160 MB of a host to the connections and the allocator.
            buffered_total_bytes: 40 * 1024 * 1024,
            min_bytes_per_s: 64,
            stall_limit_ms: 20_000,
            header_timeout_ms: 10_000,
            idle_timeout_ms: 60_000,
            connect_timeout_ms: 500,
            claim_timeout_ms: 1000,
            announce_lease_ms: 10_000,
            lame_duck_ms: 0,
            stop_timeout_ms: 30_000,
            max_config_age_ms: None,
        }
    }
}

impl Bounds {
    /// `memory_options` returns the limits of the memory account.
    pub fn memory_options(&self) -> MemoryOptions {
        MemoryOptions {
            total_bytes: self.buffered_total_bytes,
            min_bytes_per_s: self.min_bytes_per_s,
            stall_limit: Duration::from_millis(self.stall_limit_ms),
        }
    }

    /// `header_timeout` returns the time in which the headers of a request must arrive.
    pub fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.header_timeout_ms)
    }

    /// `idle_timeout` returns the time after which an idle connection is closed.
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_timeout_ms)
    }

    /// `connect_timeout` returns the time in which a connection must open.
    pub fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.connect_timeout_ms)
    }

    /// `claim_timeout` returns the time for which a gate waits for the answers to a claim.
    pub fn claim_timeout(&self) -> Duration {
        Duration::from_millis(self.claim_timeout_ms)
    }

    /// `announce_lease` returns the time for which an announcement is valid unless it is renewed.
    pub fn announce_lease(&self) -> Duration {
        Duration::from_millis(self.announce_lease_ms)
    }

    /// `lame_duck` returns the time for which a stopping node still accepts callers.
    pub fn lame_duck(&self) -> Duration {
        Duration::from_millis(self.lame_duck_ms)
    }

    /// `stop_timeout` returns the time for which a stopping node waits for requests in flight.
    pub fn stop_timeout(&self) -> Duration {
        Duration::from_millis(self.stop_timeout_ms)
    }

    /// `max_config_age` returns the time after an acknowledgement from which requests with keys must
    /// not run on an older version, if there is a bound.
    pub fn max_config_age(&self) -> Option<Duration> {
        self.max_config_age_ms.map(Duration::from_millis)
    }
}

impl Settings {
    /// `try_load` reads and checks a settings file.
    ///
    /// Fails with `Runtime` if the file cannot be read or parsed, and with `Settings` if a value is
    /// invalid or contradicts another one.
    pub fn try_load(path: &Path) -> errors::Result<Self> {
        let settings: Self = settings::load(path)?;
        settings.check()?;
        Ok(settings)
    }

    /// `check` fails with `Settings` if a value is invalid or contradicts another one.
    pub fn check(&self) -> errors::Result<()> {
        let fail = |message: String| errors::SettingsSnafu { message }.fail();
        if !self.seeds.is_empty() && !self.keepers.is_empty() {
            return fail("`keepers` and `seeds` exclude each other; remove one".to_owned());
        }
        let has_keepers = !self.keepers.is_empty();
        if has_keepers && !self.regions.contains(&self.region) {
            return fail(format!(
                "`region` {} is not in `regions`; add it",
                self.region
            ));
        }
        if self.peer_address.ip().is_unspecified() {
            return fail("`peer_address` has no host; give the address of this host".to_owned());
        }
        if self.keepers.is_empty() && self.seeds.is_empty() {
            return fail("`keepers` is empty; list all keepers, or some as `seeds`".to_owned());
        }
        if self.bounds.max_config_age_ms == Some(0) {
            return fail("`max_config_age_ms` is 0; remove it for no bound".to_owned());
        }
        let mut ids = BTreeSet::new();
        for keeper in &self.keepers {
            if !ids.insert(keeper.id) {
                return fail(format!(
                    "`keepers` lists id {} twice; give each its own",
                    keeper.id.0
                ));
            }
            if !self.regions.contains(&keeper.region) {
                return fail(format!(
                    "the region {} of keeper {} is not in `regions`; add it",
                    keeper.region, keeper.id.0
                ));
            }
        }
        Ok(())
    }

    /// `zone` returns the region and data centre of the node.
    pub fn zone(&self) -> Zone {
        Zone {
            region: self.region.clone(),
            data_centre: self.data_centre.clone(),
        }
    }
}
