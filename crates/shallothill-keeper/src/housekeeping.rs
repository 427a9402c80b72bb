//! Periodic tasks: expiry of old state and checks for isolation.

use std::sync::Arc;
use std::time::Duration;

use crate::keeper::{Keeper, lock};

/// `CHECK_INTERVAL` is the time between two checks for silent nodes, old notices and expired
/// leases.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// `FORGET_EVERY_CHECKS` is the number of checks per removal of old keys, which writes a record.
const FORGET_EVERY_CHECKS: u64 = 60;

/// `ISOLATION_CHECK_INTERVAL` is the time between two checks whether a primary is known.
const ISOLATION_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// `run_isolation_checks` updates the isolation until the timer service ends.
pub async fn run_isolation_checks(keeper: Arc<Keeper>) {
    let mut ticks = keeper.timer.every(ISOLATION_CHECK_INTERVAL);
    while ticks.recv().await.is_some() {
        keeper.update_isolation();
    }
}

/// `run` expires old state until the timer service ends.
pub async fn run(keeper: Arc<Keeper>) {
    let mut ticks = keeper.timer.every(CHECK_INTERVAL);
    let mut count: u64 = 0;
    let mut was_complete = false;
    while ticks.recv().await.is_some() {
        count += 1;
        keeper.update_node_registry(|now, node_registry| node_registry.expire(now));
        keeper.departures.expire(keeper.timer.now());
        lock(&keeper.leases).drop_ended_grants(keeper.timer.now());
        if !was_complete && keeper.is_directory_complete() {
            was_complete = true;
            // Wakes the nodes that wait for the full directory.
            keeper.notify_changes();
        }
        if count.is_multiple_of(FORGET_EVERY_CHECKS) {
            keeper.ledger.forget_old_keys().await;
        }
    }
}
