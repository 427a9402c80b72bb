//! Connections between nodes that go silent for good while new ones work.

mod support;

use std::time::Duration;

use futures::future;
use shallothill_testing::behaviour::Behaviour;
use shallothill_testing::http::Client;
use shallothill_testing::process;
use shallothill_testing::relay::{Direction, Relay};
use tokio::time;
use tokio::time::Instant;

use support::{MAX_WAIT, cluster, get, new_key, outcome, send_booking};

/// The time of the backend server's work, longer than the connection stays open once it is silent.
const WORK: Duration = Duration::from_millis(1500);

/// Far less than the deadline of the routes.
const SOON: Duration = Duration::from_secs(3);

async fn two_nodes_with_relay(behaviour: Behaviour) -> (cluster::TwoNodes, Relay) {
    let nodes = cluster::start_two_nodes(cluster::config(), behaviour).await;
    let peer = nodes.gate.node.addresses().peer;
    let relay = Relay::start(cluster::any_local_port(), peer).await.unwrap();
    cluster::redirect_gate(&nodes.entry, relay.address());
    (nodes, relay)
}

fn runs_of_bookings(nodes: &cluster::TwoNodes) -> usize {
    let record = nodes.standin.record();
    record.into_iter().filter(|r| r.key.is_some()).count()
}

/// Guards against requests that are lost, or reported as possibly run, because the connection they
/// were sent on went silent while it was idle.
#[tokio::test]
async fn a_request_on_a_silent_connection_is_served_on_another() {
    let (nodes, relay) = two_nodes_with_relay(Behaviour::default()).await;
    let client = Client::default();
    let at = nodes.entry.caller_address();
    assert_eq!(get(&client, at, "/stock", "before").await.status, 200);

    relay.sever();
    let started = Instant::now();
    let reply = send_booking(&client, at, &new_key(), "a").await.unwrap();

    assert_eq!(outcome(&reply), "answered", "{reply:?}");
    assert!(started.elapsed() < SOON, "{:?}", started.elapsed());
    assert_eq!(runs_of_bookings(&nodes), 1);
}

/// Guards against work that is given up, run again or lost because the connection went silent while
/// the backend server was at work.
#[tokio::test]
async fn the_reply_of_running_work_comes_on_another_connection() {
    let behaviour = Behaviour {
        latency_ms: WORK.as_millis() as u64,
        ..Behaviour::default()
    };
    let (nodes, relay) = two_nodes_with_relay(behaviour).await;
    let client = Client::default();
    let at = nodes.entry.caller_address();
    assert_eq!(get(&client, at, "/stock", "before").await.status, 200);

    let key = new_key();
    let booking = send_booking(&client, at, &key, "a");
    let sever = async {
        time::sleep(WORK / 3).await;
        relay.sever();
    };
    let (reply, ()) = tokio::join!(booking, sever);
    let reply = reply.unwrap();

    assert_eq!(outcome(&reply), "answered", "{reply:?}");
    assert_eq!(runs_of_bookings(&nodes), 1);
}

/// Guards against requests that are sent to a suspended process, where they wait for seconds and count
/// as possibly run. Its host goes on to accept connections.
#[tokio::test]
async fn requests_are_not_sent_to_a_suspended_process() {
    let (nodes, relay) = two_nodes_with_relay(Behaviour::default()).await;
    let _second = cluster::start_standin(&nodes.entry, "e2", Behaviour::default()).await;
    nodes.entry.wait_ready(2).await;
    let client = Client::default();
    let at = nodes.entry.caller_address();
    assert_eq!(get(&client, at, "/stock", "before").await.status, 200);
    relay.cut(Direction::FromTarget);
    // The open connection is noticed by requests that can be sent again.
    let reads = (0..10).map(|_| get(&client, at, "/stock", "during"));
    future::join_all(reads).await;

    let started = Instant::now();
    let keys: Vec<String> = (0..10).map(|_| new_key()).collect();
    let bookings = keys.iter().map(|key| send_booking(&client, at, key, "a"));
    let replies = future::join_all(bookings).await;

    for reply in replies {
        let reply = reply.unwrap();
        assert_eq!(outcome(&reply), "answered", "{reply:?}");
    }
    assert!(started.elapsed() < SOON, "{:?}", started.elapsed());

    let before = nodes.standin.record().len();
    relay.heal(Direction::FromTarget);
    let used_again = || async {
        let reply = get(&client, at, "/stock", "after").await;
        assert_eq!(outcome(&reply), "answered", "{reply:?}");
        nodes.standin.record().len() > before
    };
    process::wait_until("the process gets requests again", MAX_WAIT, used_again)
        .await
        .unwrap();
}

/// Guards against work that goes on after its caller has left.
#[tokio::test]
async fn work_ends_when_the_caller_leaves() {
    let behaviour = Behaviour {
        latency_ms: 60_000,
        ..Behaviour::default()
    };
    let (nodes, _relay) = two_nodes_with_relay(behaviour).await;
    let client = Client::default();
    let at = nodes.entry.caller_address();

    let left = time::timeout(Duration::from_secs(1), get(&client, at, "/stock", "left")).await;

    assert!(left.is_err());
    let endpoints = nodes.gate.node.gate().endpoints();
    let idle = || async { endpoints.values().all(|e| e.reported_load().in_flight == 0) };
    process::wait_until("the slot is free", MAX_WAIT, idle)
        .await
        .unwrap();
}
