//! The keeper: replicated configuration, the ledger, the directory and ejection leases.

mod change_log;
pub mod config_state;
pub mod control;
pub mod crashes;
pub mod credit;
pub mod data;
pub mod departure;
pub mod endpoint_departures;
pub mod errors;
pub mod fatal;
pub mod fetch;
pub mod group;
pub mod housekeeping;
pub mod isolation;
pub mod keeper;
pub mod key_status;
pub mod ledger;
pub mod listeners;
pub mod loads;
pub mod log;
pub mod membership_planner;
pub mod metrics;
pub mod node_registry;
pub mod operators;
pub mod peer;
pub mod peer_server;
pub mod peers;
pub mod process;
pub mod published;
pub mod publisher;
pub mod settings;
pub mod status;
pub mod submit;
pub mod sync;

pub use errors::{Error, Result};
