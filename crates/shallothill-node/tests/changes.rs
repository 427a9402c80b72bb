//! Configuration changes, drains, crashes of backend servers and starts of nodes.

mod support;

use std::time::Duration;

use bytes::Bytes;
use futures::future;
use hyper::Method;
use serde_json::json;
use shallothill_core::ids::{RouteName, ServiceName};
use shallothill_core::version::ConfigVersion;
use shallothill_node::settings::Bounds;
use shallothill_runtime::admin::AdminHandler;
use shallothill_testing::behaviour::Behaviour;
use shallothill_testing::http::Client;
use shallothill_testing::process;
use support::keepers::Keepers;
use support::{MAX_WAIT, cluster, get, outcome, reason};

fn with_route(path: &str) -> shallothill_core::config::Config {
    let mut cfg = cluster::config();
    let name = RouteName::try_new("new").unwrap();
    cfg.routes.insert(name, cluster::route(path, "GET", true));
    cfg
}

async fn wait_version(node: &cluster::RunningNode, version: u64) {
    let in_force = || async { node.node.store().version() == ConfigVersion(version) };
    process::wait_until("the version is in force", MAX_WAIT, in_force)
        .await
        .unwrap();
}

/// Guards against a configuration that is reverted by a keeper with an older version.
#[tokio::test]
async fn holds_configuration_is_never_reverted() {
    let nodes = cluster::start_two_nodes(cluster::config(), Behaviour::default()).await;
    let client = Client::default();
    let before = get(&client, nodes.entry.caller_address(), "/new", "a").await;

    nodes.keepers.shared.set_config(5, with_route("/new"));
    wait_version(&nodes.entry, 5).await;
    let after = get(&client, nodes.entry.caller_address(), "/new", "b").await;
    nodes.keepers.shared.set_config(3, cluster::config());
    // A watch without changes takes up to 2 s; the following ones return the old version.
    tokio::time::sleep(Duration::from_millis(2500)).await;
    let later = get(&client, nodes.entry.caller_address(), "/new", "c").await;

    assert_eq!((before.status.as_u16(), after.status.as_u16()), (404, 200));
    assert_eq!(later.status, 200);
    assert_eq!(nodes.entry.node.store().version(), ConfigVersion(5));
}

/// Guards against nodes without reachable keepers that do not take a newer version from their
/// peers.
#[tokio::test]
async fn takes_a_newer_version_from_a_peer() {
    let nodes = cluster::start_two_nodes(cluster::config(), Behaviour::default()).await;
    let newer_keepers = Keepers::start(cluster::REGION, with_route("/new")).await;
    newer_keepers.shared.set_config(7, with_route("/new"));
    let newer_node =
        cluster::RunningNode::start("n2", &newer_keepers.addresses, Bounds::default()).await;
    wait_version(&newer_node, 7).await;
    cluster::redirect_gate(&nodes.entry, newer_node.node.addresses().peer);

    let reply = get(
        &Client::default(),
        nodes.entry.caller_address(),
        "/stock",
        "a",
    )
    .await;
    wait_version(&nodes.entry, 7).await;
    let new = get(
        &Client::default(),
        nodes.entry.caller_address(),
        "/new",
        "b",
    )
    .await;

    assert_eq!(outcome(&reply), "refused-not-run");
    assert_ne!(new.status, 404);
}

/// Guards against a node that serves without a configuration, or with an older one than its sources
/// have.
#[tokio::test]
async fn refuses_until_it_has_a_configuration() {
    let mut keepers = Keepers::start(cluster::REGION, cluster::config()).await;
    (0..3).for_each(|i| keepers.kill(i));
    let node = cluster::RunningNode::start("n1", &keepers.addresses, Bounds::default()).await;

    let reply = get(&Client::default(), node.caller_address(), "/stock", "a").await;

    assert_eq!((reply.status.as_u16(), reason(&reply)), (503, "no-config"));
    assert_eq!(outcome(&reply), "refused-not-run");
    assert!(reply.header("retry-after").is_some());
}

/// Guards against a gate that runs attempts of other nodes before it has a configuration.
#[tokio::test]
async fn gate_refuses_until_it_has_a_configuration() {
    let nodes = cluster::start_two_nodes(cluster::config(), Behaviour::default()).await;
    let mut stopped_keepers = Keepers::start(cluster::REGION, cluster::config()).await;
    (0..3).for_each(|i| stopped_keepers.kill(i));
    let unconfigured =
        cluster::RunningNode::start("n2", &stopped_keepers.addresses, Bounds::default()).await;
    let standin = cluster::start_standin(&unconfigured, "e1", Behaviour::default()).await;
    cluster::redirect_gate(&nodes.entry, unconfigured.node.addresses().peer);

    let reply = get(
        &Client::default(),
        nodes.entry.caller_address(),
        "/stock",
        "a",
    )
    .await;

    assert_eq!((reply.status.as_u16(), reason(&reply)), (503, "no-config"));
    assert!(standin.record().is_empty());
}

/// Guards against new requests for a draining backend server, and against interruption of the
/// requests that it is running.
#[tokio::test]
async fn holds_drain_takes_no_new_work_and_cuts_nothing_off() {
    let slow = Behaviour {
        latency_ms: 200,
        ..Behaviour::default()
    };
    let nodes = cluster::start_two_nodes(cluster::config(), slow).await;
    let client = Client::default();
    let at = nodes.entry.caller_address();

    let draining = async {
        let standin = &nodes.standin;
        let running = || async { standin.record().len() == 4 };
        process::wait_until("all run", MAX_WAIT, running)
            .await
            .unwrap();
        standin.set_behaviour(Behaviour {
            draining: true,
            ..standin.behaviour()
        });
        let gate = nodes.gate.node.gate();
        let drained = || async {
            let all = gate.endpoints();
            all.values()
                .all(|e| e.reported_load().state.as_str() == "draining")
        };
        process::wait_until("the gate drains", MAX_WAIT, drained)
            .await
            .unwrap();
        get(&client, at, "/stock", "late").await
    };
    let early = future::join_all((0..4).map(|i| {
        let client = client.clone();
        async move { get(&client, at, "/stock", &i.to_string()).await }
    }));
    let (early, late) = future::join(early, draining).await;

    assert!(early.iter().all(|r| r.status == 200));
    assert_eq!(
        (late.status.as_u16(), outcome(&late)),
        (503, "refused-not-run")
    );
    assert_eq!(nodes.standin.record().len(), 4);
}

/// Guards against a request that is retried and crashes one backend server after the other.
#[tokio::test]
async fn quarantines_a_request_that_crashes_backend_servers() {
    let crashing = || Behaviour {
        crash_mark: Some("poison".to_owned()),
        ..Behaviour::default()
    };
    let nodes = cluster::start_two_nodes(cluster::config(), crashing()).await;
    let mut others = Vec::new();
    for name in ["e2", "e3", "e4"] {
        others.push(cluster::start_standin(&nodes.gate, name, crashing()).await);
    }
    nodes.entry.wait_ready(4).await;
    let client = Client::default();

    let first = get(&client, nodes.entry.caller_address(), "/stock?poison", "a").await;
    let second = get(&client, nodes.entry.caller_address(), "/stock?poison", "b").await;
    let at_gate = get(&client, nodes.gate.caller_address(), "/stock?poison", "c").await;
    let other = get(&client, nodes.entry.caller_address(), "/stock", "d").await;

    assert_eq!(outcome(&first), "unknown");
    for refused in [&second, &at_gate] {
        assert_eq!(
            (refused.status.as_u16(), reason(refused)),
            (503, "quarantined")
        );
        assert_eq!(outcome(refused), "refused-not-run");
    }
    assert_eq!(other.status, 200);
    let crashed = others.iter().chain([&nodes.standin]);
    let ran = crashed
        .flat_map(|s| s.record())
        .filter(|r| r.path.contains("poison"));
    assert_eq!(ran.count(), 2);
    let dump = nodes.entry.node.dump().await;
    assert_eq!(dump["quarantine"][0]["crashes"], 2);
}

/// Guards against an endpoint that stays registered after its backend server stopped announcing.
#[tokio::test]
async fn forgets_a_backend_server_that_stops_announcing() {
    let keepers = Keepers::start(cluster::REGION, cluster::config()).await;
    let bounds = Bounds {
        announce_lease_ms: 300,
        ..Bounds::default()
    };
    let node = cluster::RunningNode::start("n1", &keepers.addresses, bounds).await;
    let body = json!({"address": "127.0.0.1:1", "state": "ready", "slots": 5}).to_string();
    let at = node.node.addresses().announce;
    let put = Client::default();
    let put = put.send(
        Method::PUT,
        at,
        "/announce/courier/e1",
        &[],
        Bytes::from(body),
        MAX_WAIT,
    );
    assert_eq!(put.await.unwrap().status, 204);
    node.wait_ready(1).await;

    node.wait_ready(0).await;

    let name = ServiceName::try_new("courier").unwrap();
    assert!(node.node.view().tables().service(&name).is_none());
}
