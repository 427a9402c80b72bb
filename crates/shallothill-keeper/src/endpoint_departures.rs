//! Stores departures of backend servers durably, so that nodes find them after a restart.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use shallothill_core::ids::NodeName;
use shallothill_core::time::Millis;
use shallothill_directory::{Departure, DepartureTable};
use shallothill_storage::DataFolder;
use tokio::task;
use tracing::warn;

use crate::keeper::lock;

/// `CELL` is the name of the cell that holds the departures.
const CELL: &str = "departures";

/// `EndpointDepartures` holds the recent departures, in memory and in a cell of the data folder.
#[derive(Debug)]
pub struct EndpointDepartures {
    folder: DataFolder,
    table: Mutex<DepartureTable>,
    /// Held while the cell is written, so that an older content never replaces a newer one.
    writing: Mutex<()>,
}

impl EndpointDepartures {
    /// `open` reads the departures that `folder` holds. It starts without any if the cell is
    /// damaged, since the other keepers have them too.
    pub fn open(folder: DataFolder) -> Self {
        let stored = folder.read_cell::<BTreeMap<NodeName, Vec<Departure>>>(CELL);
        let stored = stored.unwrap_or_else(|e| {
            warn!("departures: {e}; starting without departures");
            None
        });
        let mut table = DepartureTable::default();
        for (node, departures) in stored.unwrap_or_default() {
            table.record(Millis(0), &node, departures);
        }
        Self {
            folder,
            table: Mutex::new(table),
            writing: Mutex::default(),
        }
    }

    /// `of_node` returns the recent departures of the backend servers of `node`.
    pub fn of_node(&self, node: &NodeName) -> Vec<Departure> {
        lock(&self.table).of_node(node)
    }

    /// `record` stores departures; returns whether they are durable.
    pub async fn record(
        self: &Arc<Self>,
        now: Millis,
        node: &NodeName,
        departures: Vec<Departure>,
    ) -> bool {
        lock(&self.table).record(now, node, departures);
        let this = Arc::clone(self);
        let written = task::spawn_blocking(move || this.write()).await;
        written.unwrap_or(false)
    }

    /// `expire` drops old departures from memory; the next one that is recorded drops them from the
    /// data folder.
    pub fn expire(&self, now: Millis) {
        lock(&self.table).expire(now);
    }

    fn write(&self) -> bool {
        let _guard = lock(&self.writing);
        let all = lock(&self.table).all();
        match self.folder.write_cell(CELL, &all) {
            Ok(()) => true,
            Err(e) => {
                warn!("departures: {e}; the departure of a backend server is not stored here");
                false
            }
        }
    }
}
