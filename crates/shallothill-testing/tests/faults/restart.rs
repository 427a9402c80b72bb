//! Starts a node again that has missed hundreds of changes.

use hyper::StatusCode;
use shallothill_testing::process;

use crate::fleet::{DEADLINE, Fleet};
use crate::text::text;

const CHANGES: u32 = 300;

/// Starts node 1 and waits until it serves the path that only the text with `mark` has.
///
/// Any older version answers 404 to that path; a node that has no version yet refuses with 503.
async fn serves_only(fleet: &mut Fleet, mark: u32) {
    fleet.respawn_node(1);
    let path = format!("/only/{mark}");
    process::wait_until("the node serves", DEADLINE, async || {
        let status = fleet.look_up(1, &path).await;
        if status == Some(StatusCode::NOT_FOUND) {
            let versions = fleet.versions().await;
            panic!("it served before version {}: {versions:?}", mark + 1);
        }
        status == Some(StatusCode::OK)
    })
    .await
    .unwrap();
    assert_eq!(fleet.node_version(1).await, Some(u64::from(mark) + 1));
}

/// Guards against a node that serves on an old version after it missed many changes, and against
/// one that does not start because most keepers are gone.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn holds_restart_after_hundreds_of_changes() {
    let mut fleet = Fleet::start().await;
    drop(fleet.nodes[1].take());
    for mark in 1..=CHANGES {
        let at = mark as usize % 3;
        let id = format!("change-{mark}");
        let version = fleet.submit(at, u64::from(mark), &id, &text(mark)).await;
        assert_eq!(version, u64::from(mark) + 1);
    }

    serves_only(&mut fleet, CHANGES).await;

    drop(fleet.nodes[1].take());
    let primary = fleet.primary().await;
    for i in (0..3).filter(|i| *i != (primary + 1) % 3) {
        drop(fleet.keepers[i].take());
    }
    serves_only(&mut fleet, CHANGES).await;
}
