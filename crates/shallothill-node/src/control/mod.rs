//! Communication with keepers: reports, watches, discovery and the configuration.

mod config_fetch;
mod credit;
mod departures;
mod discovery;
mod failover;
mod keepers;
mod probe;
mod renewal;
mod report;
mod search;
mod startup;
mod watch;

pub use config_fetch::ConfigFetcher;
pub use credit::CreditClient;
pub use departures::{recent_departures, record_departure};
pub use discovery::Discovery;
pub use failover::KeeperFailover;
pub use keepers::{Keeper, Keepers};
pub use probe::{KeeperSwitch, VersionProbe};
pub use renewal::LeaseRenewal;
pub use report::Reporter;
pub use startup::{confirmed_version, highest_reported_version};
pub use watch::Watcher;
