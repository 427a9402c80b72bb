//! Loses the disk of one host and, after its repair, the disk of a second.

use std::fs;

use shallothill_testing::process;

use crate::fleet::{DEADLINE, Fleet};
use crate::text::text;

/// Waits until keeper `i` is a full replica again in the configuration log and in its ledger
/// group.
async fn wait_repaired(fleet: &Fleet, i: usize) {
    process::wait_until("the repair of the keeper", DEADLINE, async || {
        let dump = fleet.keeper_dump(i).await;
        let standing = dump["log"]["replica"]["standing"].as_str();
        standing == Some("Whole") && dump["ledger"]["status"].as_str() == Some("Whole")
    })
    .await
    .unwrap();
}

/// Kills keeper `i`, deletes its data and starts it again as a member of the existing group.
async fn lose_disk(fleet: &mut Fleet, i: usize) {
    drop(fleet.keepers[i].take());
    fs::remove_dir_all(fleet.data_dir(i)).unwrap();
    fleet.restart_keeper(i);
    wait_repaired(fleet, i).await;
}

/// Guards against a keeper that counts towards the quorum before its repair is complete: the loss
/// of a second disk would then lose an accepted configuration or a completed idempotency key.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn holds_second_host_lost_after_a_repair() {
    let mut fleet = Fleet::start().await;
    assert_eq!(fleet.submit(0, 1, "kept", &text(1)).await, 2);
    fleet.wait_in_force(2).await;
    let key = uuid::Uuid::now_v7().to_string();
    let first = fleet.book_until_answered(0, &key).await;

    let first_lost = fleet.primary().await;
    lose_disk(&mut fleet, first_lost).await;
    lose_disk(&mut fleet, (first_lost + 1) % 3).await;
    // The only keeper with its original disk is stopped, so both answers come from repaired disks.
    let unrepaired = (first_lost + 2) % 3;
    drop(fleet.keepers[unrepaired].take());

    let resent = fleet.book_until_answered(1, &key).await;
    assert_eq!(resent, first, "the resend got another answer");
    let runs = fleet.records();
    let runs = runs.iter().filter(|r| r.key.as_deref() == Some(&key));
    assert_eq!(runs.count(), 1);
    fleet.primary().await;
    let three = fleet.submit(first_lost, 2, "after", &text(2)).await;
    assert_eq!(three, 3);
    fleet.wait_in_force(3).await;
}
