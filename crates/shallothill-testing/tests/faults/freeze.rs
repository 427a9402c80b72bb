//! Suspends the primary with SIGSTOP for longer than its lease.

use crate::fleet::Fleet;
use crate::text::text;

/// Guards against a resumed primary that acts on an expired lease and reverts accepted changes.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn holds_frozen_keeper_changes_nothing() {
    let fleet = Fleet::start().await;
    let frozen = fleet.primary().await;
    let other = (frozen + 1) % 3;

    // The other keepers elect a new primary only after the lease has expired.
    let process = fleet.keepers[frozen].as_ref().unwrap();
    process.signal("STOP").unwrap();
    assert_eq!(fleet.submit(other, 1, "frozen-2", &text(1)).await, 2);
    assert_eq!(fleet.submit(other, 2, "frozen-3", &text(2)).await, 3);
    fleet.wait_in_force(3).await;
    let primary = fleet.keeper_dump(other).await["log"]["primary"].as_u64();
    assert!(primary.is_some_and(|p| p as usize != frozen + 1));
    let before = fleet.versions().await;
    process.signal("CONT").unwrap();

    fleet.wait_converged(3, before).await;
    let before = fleet.versions().await;
    assert_eq!(fleet.submit(frozen, 3, "after", &text(3)).await, 4);
    fleet.wait_converged(4, before).await;
}
