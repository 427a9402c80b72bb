//! Access to the parts of a running node.

use std::sync::Arc;

use shallothill_core::incarnation::Incarnation;
use shallothill_runtime::timer::Timer;

use crate::config::ConfigStore;
use crate::control::Keepers;
use crate::counters::Counters;
use crate::crashes::CrashTracker;
use crate::entry::Entry;
use crate::gate::Gate;
use crate::node::{ListenAddresses, Node};
use crate::peer::PeerLinks;
use crate::settings::Settings;
use crate::view::DirectoryView;

impl Node {
    /// `stopping` tells whether the node is being stopped.
    pub fn stopping(&self) -> bool {
        self.stop.is_cancelled()
    }

    /// `settings` returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// `timer` returns the timer service.
    pub fn timer(&self) -> &Timer {
        &self.timer
    }

    /// `store` returns the configuration.
    pub fn store(&self) -> &Arc<ConfigStore> {
        &self.store
    }

    /// `view` returns the directory.
    pub fn view(&self) -> &Arc<DirectoryView> {
        &self.view
    }

    /// `keepers` returns the keepers.
    pub fn keepers(&self) -> &Arc<Keepers> {
        &self.keepers
    }

    /// `links` returns the connections to peers.
    pub fn links(&self) -> &Arc<PeerLinks> {
        &self.links
    }

    /// `crashes` returns the quarantine.
    pub fn crashes(&self) -> &Arc<CrashTracker> {
        &self.crashes
    }

    /// `gate` returns the gate.
    pub fn gate(&self) -> &Arc<Gate> {
        &self.gate
    }

    /// `entry` returns the entry.
    pub fn entry(&self) -> &Arc<Entry> {
        &self.entry
    }

    /// `counters` returns the counters.
    pub fn counters(&self) -> &Arc<Counters> {
        &self.counters
    }

    /// `incarnation` returns the life of the process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// `addresses` returns the addresses that the node listens on.
    pub fn addresses(&self) -> ListenAddresses {
        self.addresses
    }
}
