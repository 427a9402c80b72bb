//! One-way network partitions of the primary keeper.

use crate::fleet::{DEADLINE, Fleet};
use crate::text::text;
use shallothill_testing::process;

/// Waits until one of the other keepers reports a primary that is not `old`.
async fn wait_for_other_primary(fleet: &Fleet, old: usize) {
    process::wait_until("another primary", DEADLINE, async || {
        let mut found = false;
        for i in (0..3).filter(|i| *i != old) {
            let primary = fleet.keeper_dump(i).await["log"]["primary"].as_u64();
            found |= primary.is_some_and(|p| p as usize != old + 1);
        }
        found
    })
    .await
    .unwrap();
}

/// Guards against a primary that sends heartbeats but receives no replies and so blocks all
/// changes, against one that receives but cannot send, and against one that restores its old
/// version after the partition heals.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn holds_accepted_configuration_through_one_way_cuts() {
    let fleet = Fleet::start().await;

    let first = fleet.primary().await;
    fleet.links.cut_incoming(first);
    let two = fleet.submit((first + 1) % 3, 1, "deaf", &text(1)).await;
    assert_eq!(two, 2);
    wait_for_other_primary(&fleet, first).await;
    fleet.wait_in_force(2).await;
    let before = fleet.versions().await;
    fleet.links.heal();
    fleet.wait_converged(2, before).await;

    let second = fleet.primary().await;
    fleet.links.cut_outgoing(second);
    let three = fleet.submit((second + 1) % 3, 2, "mute", &text(2)).await;
    assert_eq!(three, 3);
    wait_for_other_primary(&fleet, second).await;
    fleet.wait_in_force(3).await;
    let before = fleet.versions().await;
    fleet.links.heal();
    fleet.wait_converged(3, before).await;

    // A change after both cuts shows that no keeper kept an older state.
    let before = fleet.versions().await;
    let third = fleet.primary().await;
    assert_eq!(fleet.submit(third, 3, "after", &text(3)).await, 4);
    fleet.wait_converged(4, before).await;
}
