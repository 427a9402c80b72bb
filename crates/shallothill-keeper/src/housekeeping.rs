//! Removes what is too old, about once a second.

use std::sync::Arc;
use std::time::Duration;

use crate::keeper::{Keeper, lock};

/// `EVERY` is the time between two checks for silent nodes and old notices.
const EVERY: Duration = Duration::from_secs(1);

/// `FORGET_EVERY` is the number of checks between two that drop old keys; each writes a record.
const FORGET_EVERY: u64 = 60;

/// `ISOLATION_EVERY` is the time between two looks at whether a primary is known.
const ISOLATION_EVERY: Duration = Duration::from_millis(100);

/// `watch_isolation` looks until the process ends.
pub async fn watch_isolation(keeper: Arc<Keeper>) {
    let mut ticks = keeper.timer.every(ISOLATION_EVERY);
    while ticks.recv().await.is_some() {
        keeper.watch_isolation();
    }
}

/// `run` checks until the process ends.
pub async fn run(keeper: Arc<Keeper>) {
    let mut ticks = keeper.timer.every(EVERY);
    let mut count: u64 = 0;
    let mut knew_nodes = false;
    while ticks.recv().await.is_some() {
        count += 1;
        keeper.update_node_registry(|now, node_registry| node_registry.expire(now));
        lock(&keeper.leases).expire(keeper.timer.now());
        if !knew_nodes && keeper.knows_nodes() {
            knew_nodes = true;
            // Nodes that wait for the directory get it now.
            keeper.wake();
        }
        if count.is_multiple_of(FORGET_EVERY) {
            keeper.ledger.forget().await;
        }
    }
}
