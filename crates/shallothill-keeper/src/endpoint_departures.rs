//! Stores departures of backend servers durably, so that nodes find them after a restart.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use serde::{Deserialize, Serialize};
use shallothill_core::ids::NodeName;
use shallothill_core::time::Millis;
use shallothill_directory::{Departure, DepartureTable};
use shallothill_storage::DataFolder;
use tokio::task;
use tracing::{info, warn};

use crate::keeper::lock;

/// `CELL` is the name of the cell that holds the departures.
const CELL: &str = "known-departures";

/// `FORMER_CELL` is the name of the cell of earlier releases, which does not tell whether it is
/// complete.
const FORMER_CELL: &str = "departures";

/// `DeparturesByNode` holds the departures of the backend servers of each node, the oldest first.
pub type DeparturesByNode = BTreeMap<NodeName, Vec<Departure>>;

/// `KnownDepartures` is what a keeper knows of departures.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KnownDepartures {
    /// Whether they include all that the keeper ever stored. Not so after the loss of its disk,
    /// until it has read those of the others.
    pub complete: bool,
    /// The departures.
    pub by_node: DeparturesByNode,
}

/// `EndpointDepartures` holds the recent departures, in memory and in a cell of the data folder.
#[derive(Debug)]
pub struct EndpointDepartures {
    folder: DataFolder,
    table: Mutex<DepartureTable>,
    complete: AtomicBool,
    /// Held while the cell is written, so that an older content never replaces a newer one.
    writing: Mutex<()>,
}

impl EndpointDepartures {
    /// `open` reads the departures that `folder` holds. They are incomplete if the cell is new or
    /// damaged.
    pub fn open(folder: DataFolder) -> Self {
        let stored = read(&folder);
        let mut table = DepartureTable::default();
        for (node, departures) in stored.by_node {
            table.record(Millis(0), &node, departures);
        }
        Self {
            folder,
            table: Mutex::new(table),
            complete: AtomicBool::new(stored.complete),
            writing: Mutex::default(),
        }
    }

    /// `of_node` returns the recent departures of the backend servers of `node`; `None` while this
    /// keeper may lack some that it stored before.
    pub fn of_node(&self, node: &NodeName) -> Option<Vec<Departure>> {
        self.is_complete().then(|| lock(&self.table).of_node(node))
    }

    /// `known` returns all recent departures.
    pub fn known(&self) -> KnownDepartures {
        KnownDepartures {
            complete: self.is_complete(),
            by_node: lock(&self.table).all(),
        }
    }

    /// `is_complete` tells whether the departures include all that this keeper ever stored.
    pub fn is_complete(&self) -> bool {
        self.complete.load(Ordering::Acquire)
    }

    /// `record` stores departures; returns whether they are durable.
    pub async fn record(
        self: &Arc<Self>,
        now: Millis,
        node: &NodeName,
        departures: Vec<Departure>,
    ) -> bool {
        lock(&self.table).record(now, node, departures);
        self.save().await
    }

    /// `merge` adds the departures that other keepers know.
    pub async fn merge(self: &Arc<Self>, now: Millis, others: Vec<DeparturesByNode>) {
        let before = lock(&self.table).all();
        for (node, departures) in others.into_iter().flatten() {
            let known = before.get(&node);
            let is_new = |d: &Departure| known.is_none_or(|known| !known.contains(d));
            let missing: Vec<Departure> = departures.into_iter().filter(is_new).collect();
            if !missing.is_empty() {
                lock(&self.table).record(now, &node, missing);
            }
        }
        if lock(&self.table).all() != before {
            self.save().await;
        }
    }

    /// `set_complete` records that nothing is missing.
    pub async fn set_complete(self: &Arc<Self>) {
        if !self.complete.swap(true, Ordering::AcqRel) {
            info!("departures: all departures of backend servers are known");
            self.save().await;
        }
    }

    /// `expire` drops old departures from memory; the next one that is recorded drops them from the
    /// data folder.
    pub fn expire(&self, now: Millis) {
        lock(&self.table).expire(now);
    }

    async fn save(self: &Arc<Self>) -> bool {
        let this = Arc::clone(self);
        let written = task::spawn_blocking(move || this.write()).await;
        written.unwrap_or(false)
    }

    fn write(&self) -> bool {
        let _guard = lock(&self.writing);
        match self.folder.write_cell(CELL, &self.known()) {
            Ok(()) => true,
            Err(e) => {
                warn!("departures: {e}; the departure of a backend server is not stored here");
                false
            }
        }
    }
}

// Returns what the cell holds. Without one, it may be of an earlier release, which knows less.
fn read(folder: &DataFolder) -> KnownDepartures {
    let stored = folder
        .read_cell::<KnownDepartures>(CELL)
        .unwrap_or_else(|e| {
            warn!("departures: {e}; they are read from the other keepers");
            None
        });
    stored.unwrap_or_else(|| KnownDepartures {
        complete: false,
        by_node: folder
            .read_cell(FORMER_CELL)
            .unwrap_or_default()
            .unwrap_or_default(),
    })
}
