//! Links between nodes that fail in one direction.

mod support;

use std::time::Duration;

use bytes::Bytes;
use futures::future;
use hyper::Method;
use serde_json::Value;
use shallothill_core::ids::ServiceName;
use shallothill_core::time::Millis;
use shallothill_node::body::Body;
use shallothill_node::peer::{LinkError, PeerLink};
use shallothill_policy::pick;
use shallothill_testing::behaviour::Behaviour;
use shallothill_testing::http::Client;
use shallothill_testing::process;
use shallothill_testing::relay::{Direction, Relay};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time;

use support::{MAX_WAIT, cluster, get, new_key, outcome, send_booking};

async fn two_nodes_with_relay() -> (cluster::TwoNodes, Relay) {
    let nodes = cluster::start_two_nodes(cluster::config(), Behaviour::default()).await;
    let peer = nodes.gate.node.addresses().peer;
    let relay = Relay::start(cluster::any_local_port(), peer).await.unwrap();
    cluster::redirect_gate(&nodes.entry, relay.address());
    (nodes, relay)
}

/// Guards against requests that wait until their deadline on a link that is cut in one direction,
/// and against a link that is not used again after it is restored.
#[tokio::test]
async fn notices_a_link_that_is_cut_in_one_direction() {
    for direction in [Direction::ToTarget, Direction::FromTarget] {
        let (nodes, relay) = two_nodes_with_relay().await;
        let client = Client::default();
        let at = nodes.entry.caller_address();
        assert_eq!(get(&client, at, "/stock", "before").await.status, 200);
        relay.cut(direction);

        let cut = get(&client, at, "/stock", "cut").await;
        let deadline = cut.header("x-shallothill-reason") == Some("peer-silent");
        relay.heal(direction);
        let is_restored = || async { get(&client, at, "/stock", "after").await.status == 200 };
        process::wait_until("the link is used again", MAX_WAIT, is_restored)
            .await
            .unwrap();

        assert_ne!(outcome(&cut), "answered");
        assert!(!deadline, "the cut was noticed only at the deadline");
    }
}

/// Guards against a booking that runs twice, or a response that reaches another caller, when
/// replies are delayed on the link.
#[tokio::test]
async fn holds_late_replies_reach_nobody_else() {
    let (nodes, relay) = two_nodes_with_relay().await;
    let client = Client::default();
    let at = nodes.entry.caller_address();
    assert_eq!(get(&client, at, "/stock", "before").await.status, 200);
    relay.cut(Direction::FromTarget);
    let key = new_key();

    let headers = [
        ("idempotency-key", &*key),
        ("x-shallothill-deadline-ms", "300"),
    ];
    let body = Bytes::from_static(b"a");
    let lost = client.send(Method::POST, at, "/book", &headers, body, MAX_WAIT);
    let lost = lost.await.unwrap();
    relay.heal(Direction::FromTarget);
    for i in 0..10 {
        let reply = get(&client, at, "/stock", &i.to_string()).await;
        if reply.status == 200 {
            let answer: Value = serde_json::from_slice(&reply.body).unwrap();
            assert_eq!(answer["id"], i.to_string());
        }
    }
    let is_answered =
        || async { send_booking(&client, at, &key, "a").await.unwrap().status == 200 };
    process::wait_until("the stored answer arrives", MAX_WAIT, is_answered)
        .await
        .unwrap();

    assert_eq!(outcome(&lost), "unknown");
    let booked = nodes
        .standin
        .record()
        .into_iter()
        .filter(|r| r.key.is_some());
    assert_eq!(booked.count(), 1);
}

/// A listener whose backlog is full, so that connecting to it hangs.
async fn unresponsive_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(cluster::any_local_port()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let mut held = Vec::new();
    let soon = Duration::from_millis(300);
    while let Ok(connected) = time::timeout(soon, TcpStream::connect(address)).await {
        held.push(connected.unwrap());
    }
    (listener, held)
}

/// Guards against requests to an unreachable host that make their connection attempts one after the
/// other, so that the timeouts add up.
#[tokio::test]
async fn requests_share_a_failure_to_connect() {
    const TIMEOUT: Duration = Duration::from_secs(1);
    let (listener, _held) = unresponsive_listener().await;
    let link = PeerLink::new(listener.local_addr().unwrap(), TIMEOUT);
    let request = || {
        let mut req = hyper::Request::new(Body::full(Bytes::new()));
        *req.uri_mut() = "http://peer/stock".parse().unwrap();
        req
    };
    let started = time::Instant::now();

    let sent = future::join_all((0..8).map(|_| link.send(request()))).await;

    let not_sent = |r: &Result<_, LinkError>| matches!(r, Err(LinkError::NotSent(_)));
    assert!(sent.iter().all(not_sent));
    // Consecutive attempts would take 8 s.
    assert!(started.elapsed() < 4 * TIMEOUT, "{:?}", started.elapsed());
}

/// Guards against an idempotent request that waits until its deadline for a silent peer while
/// another backend server could answer it, and against a silent path that is not penalised.
#[tokio::test]
async fn answers_elsewhere_when_a_peer_falls_silent() {
    let (nodes, relay) = two_nodes_with_relay().await;
    let local_standin = cluster::start_standin(&nodes.entry, "e2", Behaviour::default()).await;
    nodes.entry.wait_ready(2).await;
    cluster::redirect_gate(&nodes.entry, relay.address());
    let client = Client::default();
    let at = nodes.entry.caller_address();
    assert_eq!(get(&client, at, "/stock", "before").await.status, 200);
    relay.cut(Direction::ToTarget);

    // Shorter than the time after which pings detect the cut.
    let headers = [("x-shallothill-deadline-ms", "1000")];
    let sends = (0..8).map(|_| {
        let body = Bytes::new();
        client.send(Method::GET, at, "/stock", &headers, body, MAX_WAIT)
    });
    let replies = futures::future::join_all(sends).await;

    let outcomes: Vec<_> = replies.iter().flatten().map(outcome).collect();
    assert_eq!(outcomes, ["answered"; 8]);
    assert!(!local_standin.record().is_empty());
    let service = ServiceName::try_new("courier").unwrap();
    let tables = nodes.entry.node.view().tables();
    let endpoints = tables.service(&service).unwrap().endpoints();
    let penalised = |e: &&pick::Endpoint| e.path.is_penalised(Millis(0));
    let penalised: Vec<_> = endpoints.iter().filter(penalised).collect();
    assert_eq!(penalised.len(), 1);
    assert_eq!(penalised[0].info.peer_address, relay.address());
}

/// Guards against a request that waits for a silent peer until its deadline although a third
/// backend server could answer, when another attempt is shed before or after.
#[tokio::test]
async fn leaves_a_silent_peer_in_any_order_of_attempts() {
    let (nodes, relay) = two_nodes_with_relay().await;
    let shedding = Behaviour {
        shed_percent: 100,
        ..Behaviour::default()
    };
    let _shed = cluster::start_standin(&nodes.entry, "e2", shedding).await;
    let _own = cluster::start_standin(&nodes.entry, "e3", Behaviour::default()).await;
    nodes.entry.wait_ready(3).await;
    cluster::redirect_gate(&nodes.entry, relay.address());
    let client = Client::default();
    let at = nodes.entry.caller_address();
    relay.cut(Direction::ToTarget);

    // Few enough for the retries that the budget has saved.
    let headers = [("x-shallothill-deadline-ms", "1500")];
    let sends = (0..5).map(|_| {
        let body = Bytes::new();
        client.send(Method::GET, at, "/stock", &headers, body, MAX_WAIT)
    });
    let replies = futures::future::join_all(sends).await;

    let outcomes: Vec<_> = replies.iter().flatten().map(outcome).collect();
    assert_eq!(outcomes, ["answered"; 5]);
}
