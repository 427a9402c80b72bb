//! Loses the disk of one host and, once it is repaired, that of the next.

use std::fs;

use shallothill_testing::process;

use crate::fleet::{DEADLINE, Fleet};
use crate::text::text;

/// Waits until keeper `i` counts again in the config log and in its ledger group.
async fn wait_whole(fleet: &Fleet, i: usize) {
    process::wait_until("a whole keeper", DEADLINE, async || {
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
    wait_whole(fleet, i).await;
}

/// Guards against a repair that counts before the keeper holds everything again: the loss of the
/// next disk would then take an accepted configuration or a completed key with it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn holds_second_host_lost_after_a_repair() {
    let mut fleet = Fleet::start().await;
    assert_eq!(fleet.submit(0, 1, "kept", &text(1)).await, 2);
    fleet.wait_in_force(2).await;
    let key = uuid::Uuid::now_v7().to_string();
    let first = fleet.book_until_answered(0, &key).await;

    let lost = fleet.primary().await;
    lose_disk(&mut fleet, lost).await;
    lose_disk(&mut fleet, (lost + 1) % 3).await;
    // The one keeper with its first disk is down, so both answers come from repaired disks.
    let untouched = (lost + 2) % 3;
    drop(fleet.keepers[untouched].take());

    let again = fleet.book_until_answered(1, &key).await;
    assert_eq!(again, first, "the resend got another answer");
    let runs = fleet.records();
    let runs = runs.iter().filter(|r| r.key.as_deref() == Some(&key));
    assert_eq!(runs.count(), 1);
    fleet.primary().await;
    let three = fleet.submit(lost, 2, "after", &text(2)).await;
    assert_eq!(three, 3);
    fleet.wait_in_force(3).await;
}
