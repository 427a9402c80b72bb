//! Links between nodes that are cut in one direction.

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

use support::{LONG, book, cluster, get, key, outcome};

async fn relayed() -> (cluster::Pair, Relay) {
    let pair = cluster::pair(cluster::config(), Behaviour::default()).await;
    let peer = pair.gate.node.addresses().peer;
    let relay = Relay::start(cluster::local(), peer).await.unwrap();
    cluster::move_gate(&pair.entry, relay.address());
    (pair, relay)
}

/// Guards against requests that wait for their whole deadline on a link that is cut in one
/// direction, and against a link that is not used again after it heals.
#[tokio::test]
async fn notices_a_link_that_is_cut_in_one_direction() {
    for direction in [Direction::ToTarget, Direction::FromTarget] {
        let (pair, relay) = relayed().await;
        let client = Client::default();
        let at = pair.entry.caller();
        assert_eq!(get(&client, at, "/stock", "before").await.status, 200);
        relay.cut(direction);

        let cut = get(&client, at, "/stock", "cut").await;
        let deadline = cut.header("x-shallothill-reason") == Some("peer-silent");
        relay.heal(direction);
        let heals = || async { get(&client, at, "/stock", "after").await.status == 200 };
        process::wait_until("the link is used again", LONG, heals)
            .await
            .unwrap();

        assert_ne!(outcome(&cut), "answered");
        assert!(!deadline, "the cut was noticed only at the deadline");
    }
}

/// Guards against a booking that runs twice, or an answer for another caller, when replies are
/// held back and arrive late.
#[tokio::test]
async fn holds_late_replies_reach_nobody_else() {
    let (pair, relay) = relayed().await;
    let client = Client::default();
    let at = pair.entry.caller();
    assert_eq!(get(&client, at, "/stock", "before").await.status, 200);
    relay.cut(Direction::FromTarget);
    let key = key();

    let headers = [
        ("idempotency-key", &*key),
        ("x-shallothill-deadline-ms", "300"),
    ];
    let body = Bytes::from_static(b"a");
    let lost = client.send(Method::POST, at, "/book", &headers, body, LONG);
    let lost = lost.await.unwrap();
    relay.heal(Direction::FromTarget);
    for i in 0..10 {
        let reply = get(&client, at, "/stock", &i.to_string()).await;
        if reply.status == 200 {
            let answer: Value = serde_json::from_slice(&reply.body).unwrap();
            assert_eq!(answer["id"], i.to_string());
        }
    }
    let settled = || async { book(&client, at, &key, "a").await.unwrap().status == 200 };
    process::wait_until("the stored answer arrives", LONG, settled)
        .await
        .unwrap();

    assert_eq!(outcome(&lost), "unknown");
    let booked = pair
        .standin
        .record()
        .into_iter()
        .filter(|r| r.key.is_some());
    assert_eq!(booked.count(), 1);
}

/// A listener that takes no more connections, so that opening one hangs.
async fn deaf_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(cluster::local()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let mut held = Vec::new();
    let soon = Duration::from_millis(300);
    while let Ok(connected) = time::timeout(soon, TcpStream::connect(address)).await {
        held.push(connected.unwrap());
    }
    (listener, held)
}

/// Guards against requests to a host that cannot be reached which wait for each other's attempts to
/// connect, one timeout after the other.
#[tokio::test]
async fn requests_share_a_failure_to_connect() {
    const TIMEOUT: Duration = Duration::from_secs(1);
    let (listener, _held) = deaf_listener().await;
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
    // One after the other they take 8 s.
    assert!(started.elapsed() < 4 * TIMEOUT, "{:?}", started.elapsed());
}

/// Guards against an idempotent request that spends its whole deadline on a silent peer while
/// another backend server could answer it, and against a silent path that counts as sound.
#[tokio::test]
async fn answers_elsewhere_when_a_peer_falls_silent() {
    let (pair, relay) = relayed().await;
    let own = cluster::standin(&pair.entry, "e2", Behaviour::default()).await;
    pair.entry.ready(2).await;
    cluster::move_gate(&pair.entry, relay.address());
    let client = Client::default();
    let at = pair.entry.caller();
    assert_eq!(get(&client, at, "/stock", "before").await.status, 200);
    relay.cut(Direction::ToTarget);

    // Shorter than the time in which pings notice the cut.
    let headers = [("x-shallothill-deadline-ms", "1000")];
    let sends = (0..8).map(|_| {
        let body = Bytes::new();
        client.send(Method::GET, at, "/stock", &headers, body, LONG)
    });
    let replies = futures::future::join_all(sends).await;

    let outcomes: Vec<_> = replies.iter().flatten().map(outcome).collect();
    assert_eq!(outcomes, ["answered"; 8]);
    assert!(!own.record().is_empty());
    let service = ServiceName::try_new("courier").unwrap();
    let tables = pair.entry.node.view().tables();
    let endpoints = tables.service(&service).unwrap().endpoints();
    let marked = |e: &&pick::Endpoint| e.path.is_penalised(Millis(0));
    let marked: Vec<_> = endpoints.iter().filter(marked).collect();
    assert_eq!(marked.len(), 1);
    assert_eq!(marked[0].info.peer_address, relay.address());
}

/// Guards against an attempt that meets a silent peer after, or before, another one was shed, and
/// then waits for the deadline while a third backend server could answer.
#[tokio::test]
async fn leaves_a_silent_peer_in_any_order_of_attempts() {
    let (pair, relay) = relayed().await;
    let shedding = Behaviour {
        shed_percent: 100,
        ..Behaviour::default()
    };
    let _shed = cluster::standin(&pair.entry, "e2", shedding).await;
    let _own = cluster::standin(&pair.entry, "e3", Behaviour::default()).await;
    pair.entry.ready(3).await;
    cluster::move_gate(&pair.entry, relay.address());
    let client = Client::default();
    let at = pair.entry.caller();
    relay.cut(Direction::ToTarget);

    // Few enough for the saved retries of the budget.
    let headers = [("x-shallothill-deadline-ms", "1500")];
    let sends = (0..5).map(|_| {
        let body = Bytes::new();
        client.send(Method::GET, at, "/stock", &headers, body, LONG)
    });
    let replies = futures::future::join_all(sends).await;

    let outcomes: Vec<_> = replies.iter().flatten().map(outcome).collect();
    assert_eq!(outcomes, ["answered"; 5]);
}
