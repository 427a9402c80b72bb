//! Cuts the primary's peer links in one direction.

use crate::fleet::{DEADLINE, Fleet};
use crate::text::text;
use shallothill_testing::process;

/// Waits until keepers other than `old` have a primary among themselves that is not `old`.
async fn wait_other_primary(fleet: &Fleet, old: usize) {
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

/// Guards against a primary that sends heartbeats but hears no answer and so blocks every change,
/// against one that hears but cannot send, and against a healed one that brings back its version.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn holds_accepted_configuration_through_one_way_cuts() {
    let fleet = Fleet::start().await;

    let first = fleet.primary().await;
    fleet.links.cut_incoming(first);
    let two = fleet.submit((first + 1) % 3, 1, "deaf", &text(1)).await;
    assert_eq!(two, 2);
    wait_other_primary(&fleet, first).await;
    fleet.wait_in_force(2).await;
    let before = fleet.versions().await;
    fleet.links.heal();
    fleet.wait_risen(2, before).await;

    let second = fleet.primary().await;
    fleet.links.cut_outgoing(second);
    let three = fleet.submit((second + 1) % 3, 2, "mute", &text(2)).await;
    assert_eq!(three, 3);
    wait_other_primary(&fleet, second).await;
    fleet.wait_in_force(3).await;
    let before = fleet.versions().await;
    fleet.links.heal();
    fleet.wait_risen(3, before).await;

    // A change after both cuts shows that no keeper holds on to an older state.
    let before = fleet.versions().await;
    let third = fleet.primary().await;
    assert_eq!(fleet.submit(third, 3, "after", &text(3)).await, 4);
    fleet.wait_risen(4, before).await;
}
