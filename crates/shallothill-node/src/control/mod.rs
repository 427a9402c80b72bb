//! The node's exchange with keepers: reports, the watch and the configuration.

mod config_fetch;
mod discovery;
mod keepers;
mod probe;
mod relocation;
mod report;
mod startup;
mod watch;

pub use config_fetch::ConfigFetch;
pub use discovery::Discovery;
pub use keepers::{Keeper, Keepers};
pub use probe::{Move, Probe};
pub use relocation::Relocation;
pub use report::Reporter;
pub use startup::{confirmed_version, learn_version};
pub use watch::Watcher;
