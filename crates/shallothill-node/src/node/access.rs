//! Accessors for the components of a running node.

use std::sync::Arc;

use shallothill_core::incarnation::Incarnation;
use shallothill_runtime::timer::Timer;

use crate::config::ConfigStore;
use crate::control::Keepers;
use crate::counters::Counters;
use crate::counters::Gauges;
use crate::crashes::CrashTracker;
use crate::entry::Entry;
use crate::gate::Gate;
use crate::node::{ListenAddresses, Node};
use crate::peer::PeerLinks;
use crate::settings::Settings;
use crate::view::DirectoryView;

impl Node {
    /// `stopping` tells whether the stop of the node was requested.
    pub fn stopping(&self) -> bool {
        self.stop.is_cancelled()
    }

    /// `settings` returns the settings that the node was started with.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// `timer` returns the clock and timers that all components share.
    pub fn timer(&self) -> &Timer {
        &self.timer
    }

    /// `store` returns the store with the configuration in force.
    pub fn store(&self) -> &Arc<ConfigStore> {
        &self.store
    }

    /// `view` returns the directory with the endpoints of all nodes.
    pub fn view(&self) -> &Arc<DirectoryView> {
        &self.view
    }

    /// `keepers` returns the list of keepers, which changes where they are discovered.
    pub fn keepers(&self) -> &Arc<Keepers> {
        &self.keepers
    }

    /// `links` returns the connections to other nodes.
    pub fn links(&self) -> &Arc<PeerLinks> {
        &self.links
    }

    /// `crashes` returns the crash records and the quarantine of fingerprints.
    pub fn crashes(&self) -> &Arc<CrashTracker> {
        &self.crashes
    }

    /// `gate` returns the gate of the backend servers on this host.
    pub fn gate(&self) -> &Arc<Gate> {
        &self.gate
    }

    /// `entry` returns the entry, which serves callers.
    pub fn entry(&self) -> &Arc<Entry> {
        &self.entry
    }

    /// `counters` returns the counters of responses and attempts.
    pub fn counters(&self) -> &Arc<Counters> {
        &self.counters
    }

    /// `incarnation` returns the start time of the process in Unix milliseconds, which
    /// distinguishes it from earlier processes.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// `addresses` returns the addresses that the node listens on, with the ports actually bound.
    pub fn addresses(&self) -> ListenAddresses {
        self.addresses
    }

    /// `gauges` returns the current values that are sent as metrics.
    pub(super) fn gauges(&self) -> Gauges {
        Gauges {
            config_version: self.store.version().0,
            endpoints: self.gate.endpoints().len() as u64,
            memory: self.entry.memory().counts(),
            held_bytes: self.entry.memory().used_bytes() as u64,
            claims: self.gate.ledger().in_flight_counts().0 as u64,
            limited_routes: self.entry.limited_routes() as u64,
        }
    }
}
