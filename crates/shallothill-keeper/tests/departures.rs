//! Departures of backend servers at keepers that were off, lost their disks or have damaged ones.

mod common;

use std::fs;

use common::Group;
use shallothill_core::ids::{EndpointName, NodeName, ServiceName};
use shallothill_directory::Departure;
use shallothill_testing::process;
use shallothill_wire::departures::RecordDeparturesRequest;

fn node() -> NodeName {
    NodeName::try_new("n1").unwrap()
}

fn departure() -> Departure {
    Departure {
        service: ServiceName::try_new("courier").unwrap(),
        name: EndpointName::try_new("e1").unwrap(),
        started_ms: 1,
        sequence: u64::MAX,
    }
}

/// Starts three keepers; two of them store a departure while the third is off.
async fn group_with_departure() -> Group {
    let mut group = Group::start(3).await;
    for i in 0..3 {
        wait_until_known(&group, i, &[]).await;
    }
    group.stop_one(2).await;
    for i in [0, 1] {
        let req = RecordDeparturesRequest {
            node: node(),
            departures: vec![departure()],
        };
        let control = group.control(i);
        let call = control.call(common::DEADLINE, |c, cx| async move {
            c.record_departures(cx, req).await
        });
        assert!(call.await.unwrap().durable);
    }
    group
}

/// Returns what keeper `i` answers a node, `None` if it does not know the departures.
async fn answer(group: &Group, i: usize) -> Option<Vec<Departure>> {
    let control = group.control(i);
    let call = control.call(common::DEADLINE, |c, cx| async move {
        c.departures(cx, node()).await
    });
    call.await.unwrap().departures
}

async fn wait_until_known(group: &Group, i: usize, expected: &[Departure]) {
    let known = || async { answer(group, i).await.is_some_and(|d| d == expected) };
    let known = process::wait_until("the departures are known", common::DEADLINE, known);
    known.await.unwrap();
}

/// Starts the first keeper, which must not answer before the second one has started too.
async fn check_first_keeper_learns(group: &mut Group) {
    group.start_one(0, false).await;
    assert_eq!(answer(group, 0).await, None);
    group.start_one(1, false).await;
    wait_until_known(group, 0, &[departure()]).await;
}

/// Guards against a keeper that lost its disk and answers that there are no departures, though it has
/// stored one, while too few others can tell.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_disk_is_no_knowledge() {
    let mut group = group_with_departure().await;
    group.start_one(2, false).await;
    group.stop_one(0).await;
    group.stop_one(1).await;
    fs::remove_dir_all(&group.settings[0].data_dir).unwrap();

    check_first_keeper_learns(&mut group).await;
}

/// Guards against a damaged cell that is taken for one without departures.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_damaged_cell_is_no_knowledge() {
    let mut group = group_with_departure().await;
    group.start_one(2, false).await;
    group.stop_one(0).await;
    group.stop_one(1).await;
    let cell = group.settings[0].data_dir.join("known-departures.cell");
    let mut bytes = fs::read(&cell).unwrap();
    *bytes.last_mut().unwrap() ^= 1;
    fs::write(&cell, bytes).unwrap();

    check_first_keeper_learns(&mut group).await;
}

/// Guards against a keeper that never learns of the departures that were stored while it was off, so that
/// they are lost with the others.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn departures_reach_a_keeper_that_was_off() {
    let mut group = group_with_departure().await;

    group.start_one(2, false).await;

    wait_until_known(&group, 2, &[departure()]).await;
}
