//! Backend servers that announce themselves before a restarted node knows which of them have left.

mod support;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde_json::json;
use shallothill_node::settings::Bounds;
use shallothill_testing::http::Client;
use shallothill_testing::process;
use shallothill_testing::relay::{Direction, Relay};
use support::cluster::RunningNode;
use support::keepers::Keepers;
use support::{MAX_WAIT, cluster};

/// The start of all backend servers, before those of the nodes.
const STARTED_MS: u64 = 1000;

/// A lease that no test outlives.
const LONG_LEASE_MS: u64 = 120_000;

/// A lease that is short enough for a test to wait until it has passed.
const SHORT_LEASE_MS: u64 = 1500;

/// A node that was restarted while only one of three keepers can be reached.
struct RestartedNode {
    node: RunningNode,
    relays: Vec<Relay>,
    _keepers: Keepers,
}

impl RestartedNode {
    /// Starts it once the departures of `left` are confirmed, and waits until it serves.
    /// Announcements are valid for `announce_lease_ms`.
    async fn start(left: &[&str], announce_lease_ms: u64) -> Self {
        let mut keepers = Keepers::start(cluster::REGION, cluster::config()).await;
        let mut relays = Vec::new();
        for keeper in &mut keepers.addresses {
            let relay = Relay::start(cluster::any_local_port(), keeper.control_address);
            let relay = relay.await.unwrap();
            keeper.control_address = relay.address();
            relays.push(relay);
        }
        let bounds = Bounds {
            announce_lease_ms,
            ..Bounds::default()
        };
        let before = RunningNode::start("n1", &keepers.addresses, bounds.clone()).await;
        for name in left {
            assert_eq!(announce(&before, name, 1).await, StatusCode::NO_CONTENT);
            let path = format!("/announce/courier/{name}");
            let withdrawn = call(&before, Method::DELETE, &path, Bytes::new()).await;
            assert_eq!(withdrawn, StatusCode::NO_CONTENT);
        }
        drop(before);
        relays[1..].iter().for_each(|r| r.cut(Direction::ToTarget));
        let node = RunningNode::start("n1", &keepers.addresses, bounds).await;
        let serves = || async { node.node.entry().serving() };
        let served = process::wait_until("the node serves", MAX_WAIT, serves);
        served.await.unwrap();
        Self {
            node,
            relays,
            _keepers: keepers,
        }
    }

    async fn announce(&self, name: &str, sequence: u64) -> StatusCode {
        announce(&self.node, name, sequence).await
    }

    fn registered(&self) -> Vec<String> {
        let endpoints = self.node.node.gate().endpoints();
        endpoints.keys().map(|(_, name)| name.to_string()).collect()
    }
}

async fn call(node: &RunningNode, method: Method, path: &str, body: Bytes) -> StatusCode {
    let at = node.node.addresses().announce;
    let client = Client::default();
    let sent = client.send(method, at, path, &[], body, MAX_WAIT).await;
    sent.unwrap().status
}

async fn announce(node: &RunningNode, name: &str, sequence: u64) -> StatusCode {
    // Each name has its own address, as a later process at an address replaces the one before.
    let port = 9000 + u16::from(name.as_bytes()[1]);
    let body = json!({
        "address": format!("127.0.0.1:{port}"), "state": "ready", "slots": 5,
        "started_ms": STARTED_MS, "sequence": sequence,
    });
    let path = format!("/announce/courier/{name}");
    call(node, Method::PUT, &path, Bytes::from(body.to_string())).await
}

/// Guards against a departure that was confirmed and is forgotten by a node that starts while no majority
/// of the keepers answers: a late announcement brings the backend server back.
#[tokio::test]
async fn holds_a_departure_while_no_majority_answers() {
    let restarted = RestartedNode::start(&["e1"], LONG_LEASE_MS).await;

    let late = restarted.announce("e1", 1).await;
    let doubled = restarted.announce("e1", 1).await;

    assert_eq!(late, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(doubled, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(restarted.registered(), Vec::<String>::new());
}

/// Guards against a node that knows a single keeper, which has not read its log yet, and takes it for a
/// majority.
#[tokio::test]
async fn a_keeper_without_a_group_is_no_majority() {
    let keepers = Keepers::start(cluster::REGION, cluster::config()).await;
    let first = keepers.addresses[0].id;
    keepers.shared.without_log.lock().unwrap().insert(first);
    keepers.shared.without_peers.lock().unwrap().insert(first);
    let node = RunningNode::start_with_seeds("n1", vec![keepers.address(0)]).await;
    let serves = || async { node.node.entry().serving() };
    let served = process::wait_until("the node serves", MAX_WAIT, serves);
    served.await.unwrap();

    let announced = announce(&node, "e1", 1).await;
    let withdrawn = call(&node, Method::DELETE, "/announce/courier/e1", Bytes::new()).await;

    assert_eq!(node.node.keepers().all().len(), 1);
    assert_eq!(announced, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(withdrawn, StatusCode::SERVICE_UNAVAILABLE);
}

/// Guards against a node that starts without a majority of the keepers and registers no backend server,
/// though some show that they live.
#[tokio::test]
async fn registers_by_signs_of_life_while_no_majority_answers() {
    let restarted = RestartedNode::start(&[], SHORT_LEASE_MS).await;

    let first = restarted.announce("e2", 5).await;
    let moved_on = restarted.announce("e2", 6).await;
    let unnumbered = || async { restarted.announce("e3", 0).await == StatusCode::NO_CONTENT };
    let unnumbered = process::wait_until("a lease has passed", MAX_WAIT, unnumbered).await;

    assert_eq!(first, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(moved_on, StatusCode::NO_CONTENT);
    assert!(unnumbered.is_ok());
}

/// Guards against a node that never learns of a departure once it serves without a majority of the
/// keepers, so that a server that it registered by two late announcements stays in use.
#[tokio::test]
async fn applies_departures_that_become_known_late() {
    let restarted = RestartedNode::start(&["e1"], LONG_LEASE_MS).await;
    for (name, sequence) in [("e1", 1), ("e1", 2), ("e2", 1), ("e2", 2)] {
        restarted.announce(name, sequence).await;
    }
    let before = restarted.registered();

    for relay in &restarted.relays {
        relay.heal(Direction::ToTarget);
    }
    let known = || async { restarted.registered() == ["e2"] };
    let known = process::wait_until("the departure is known", MAX_WAIT, known).await;

    assert_eq!(before, ["e1", "e2"]);
    assert!(known.is_ok());
    assert_eq!(restarted.announce("e1", 3).await, StatusCode::NO_CONTENT);
    assert_eq!(restarted.registered(), ["e2"]);
}
