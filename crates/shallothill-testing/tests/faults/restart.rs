//! Restarts a node that missed hundreds of configuration changes.

use hyper::StatusCode;
use shallothill_testing::process;

use crate::fleet::{DEADLINE, Fleet};
use crate::text::text;

const CHANGE_COUNT: u32 = 300;

/// Starts node 1 and waits until it serves the path that only the configuration with `mark` has.
///
/// A node on an older version answers 404 for that path; one without a version refuses with 503.
async fn assert_restarts_at_version_of(fleet: &mut Fleet, mark: u32) {
    fleet.respawn_node(1);
    let path = format!("/only/{mark}");
    process::wait_until("the node serves", DEADLINE, async || {
        let status = fleet.get_status(1, &path).await;
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

/// Guards against a restarted node that serves with an old version after it missed many changes,
/// and against one that does not start while most keepers are down.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn holds_restart_after_hundreds_of_changes() {
    let mut fleet = Fleet::start().await;
    drop(fleet.nodes[1].take());
    for mark in 1..=CHANGE_COUNT {
        let at = mark as usize % 3;
        let id = format!("change-{mark}");
        let version = fleet.submit(at, u64::from(mark), &id, &text(mark)).await;
        assert_eq!(version, u64::from(mark) + 1);
    }

    assert_restarts_at_version_of(&mut fleet, CHANGE_COUNT).await;

    drop(fleet.nodes[1].take());
    let primary = fleet.primary().await;
    for i in (0..3).filter(|i| *i != (primary + 1) % 3) {
        drop(fleet.keepers[i].take());
    }
    assert_restarts_at_version_of(&mut fleet, CHANGE_COUNT).await;
}
