//! Confirmations of the newest configuration version, which nodes get with their watches.

mod common;

use common::Group;
use serde::Serialize;
use shallothill_core::ids::NodeName;
use shallothill_core::time::Millis;
use shallothill_core::version::ConfigVersion;
use shallothill_wire::watch::{Confirmed, WatchRequest};

/// The fields of a watch before there were confirmations.
#[derive(Serialize)]
struct FormerRequest {
    node: NodeName,
    config_version: ConfigVersion,
    cursor: Option<u8>,
    complete: bool,
    isolated: bool,
    wait_ms: u32,
}

fn request(confirm: bool) -> WatchRequest {
    WatchRequest {
        node: NodeName::try_new("n1").unwrap(),
        config_version: ConfigVersion(1),
        cursor: None,
        complete: false,
        isolated: false,
        wait_ms: 0,
        confirm,
    }
}

async fn watch(group: &Group, i: usize, confirm: bool) -> Option<Confirmed> {
    let control = group.control(i);
    let call = control.call(common::DEADLINE, |c, cx| async move {
        c.watch(cx, request(confirm)).await
    });
    call.await.unwrap().confirmed
}

/// Starts a group in which version 1 is accepted, with a keeper that is not the primary.
async fn start_group() -> (Group, usize) {
    let group = Group::start(3).await;
    group
        .submit_until_answered(0, 0, "a", &common::text(1, 0))
        .await;
    let backup = (group.primary().await + 1) % 3;
    (group, backup)
}

/// Waits for a confirmation at keeper `i` and returns the time of its question by that keeper's
/// clock.
async fn wait_for_confirmation(group: &Group, i: usize, version: u64) -> i64 {
    group
        .keeper(i)
        .confirmations
        .want_until(Millis(u64::MAX / 2));
    let latest = || group.keeper(i).confirmations.latest(Millis(0));
    common::wait("a confirmation", || {
        latest().is_some_and(|c| c.version == ConfigVersion(version))
    })
    .await;
    latest().unwrap().relative_ms
}

/// Guards against nodes without the setting that get other bytes than before, and keepers that
/// question the primary for them.
#[tokio::test]
async fn a_keeper_confirms_only_for_nodes_that_ask() {
    let former = FormerRequest {
        node: NodeName::try_new("n1").unwrap(),
        config_version: ConfigVersion(1),
        cursor: None,
        complete: false,
        isolated: false,
        wait_ms: 0,
    };
    let former = rmp_serde::to_vec(&former).unwrap();
    assert_eq!(rmp_serde::to_vec(&request(false)).unwrap(), former);
    let decoded: WatchRequest = rmp_serde::from_slice(&former).unwrap();
    assert_eq!(decoded, request(false));
    let (group, backup) = start_group().await;

    assert_eq!(watch(&group, backup, false).await, None);
    assert_eq!(group.keeper(backup).confirmations.latest(Millis(0)), None);

    watch(&group, backup, true).await;
    wait_for_confirmation(&group, backup, 1).await;
    let confirmed = watch(&group, backup, true).await.unwrap();
    assert_eq!(confirmed.version, ConfigVersion(1));
    assert!(confirmed.relative_ms <= 0);
    assert_eq!(watch(&group, backup, false).await, None);
}

/// Guards against a keeper that confirms an old version to its nodes after a newer one was
/// acknowledged.
#[tokio::test]
async fn holds_a_question_after_an_acknowledgement_confirms_the_new_version() {
    let (group, backup) = start_group().await;
    wait_for_confirmation(&group, backup, 1).await;

    group
        .submit_until_answered(0, 1, "b", &common::text(1, 1))
        .await;
    let acknowledged = group.keeper(backup).timer.now().0 as i64;

    let latest = || group.keeper(backup).confirmations.latest(Millis(0));
    common::wait("a later question", || {
        latest().is_some_and(|c| {
            assert!(c.relative_ms < acknowledged || c.version == ConfigVersion(2));
            c.relative_ms >= acknowledged
        })
    })
    .await;
}

/// Guards against a keeper that confirms versions without a quorum, which may accept newer ones.
#[tokio::test]
async fn holds_a_keeper_without_a_quorum_confirms_nothing() {
    let (mut group, _) = start_group().await;
    let last = group.primary().await;
    wait_for_confirmation(&group, last, 1).await;

    for i in (0..3).filter(|i| *i != last) {
        group.stop_one(i).await;
    }
    let now = || group.keeper(last).timer.now().0 as i64;
    let stopped = now();

    let lease_ms = group.settings[last].log.lease_ms as i64;
    common::wait("the end of several intervals", || {
        let asked = group.keeper(last).confirmations.latest(Millis(0));
        assert!(asked.unwrap().relative_ms <= stopped + lease_ms);
        now() > stopped + 2000
    })
    .await;
}
