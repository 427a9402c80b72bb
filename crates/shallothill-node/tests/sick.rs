//! Unhealthy backend servers, callers that disconnect and keepers with an old configuration.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures::future;
use hyper::Method;
use shallothill_core::config::Disposition;
use shallothill_core::health::ServingState;
use shallothill_core::ids::{KeeperId, RouteName, ServiceName};
use shallothill_core::version::ConfigVersion;
use shallothill_testing::behaviour::Behaviour;
use shallothill_testing::http::Client;
use shallothill_testing::process;
use support::{MAX_WAIT, cluster, get};

fn quick_detection_config() -> shallothill_core::config::Config {
    let mut cfg = cluster::config();
    let name = ServiceName::try_new("courier").unwrap();
    let service = cfg.services.get_mut(&name).unwrap();
    service.disposition = Disposition::QUICK;
    service.hedge_after = Some(Duration::from_millis(50));
    cfg
}

fn stalling() -> Behaviour {
    Behaviour {
        stall: true,
        ..Behaviour::default()
    }
}

fn gate_state(nodes: &cluster::TwoNodes) -> ServingState {
    let endpoints = nodes.gate.node.gate().endpoints();
    endpoints.values().next().unwrap().reported_load().state
}

async fn send_burst(nodes: &cluster::TwoNodes) {
    let client = Client::default();
    let at = nodes.entry.caller_address();
    let headers = [("x-shallothill-deadline-ms", "400")];
    let send = |_| client.send(Method::GET, at, "/stock", &headers, Bytes::new(), MAX_WAIT);
    future::join_all((0..8).map(send)).await;
}

async fn wait_for_state(nodes: &cluster::TwoNodes, expected: ServingState) {
    let reached = || async {
        send_burst(nodes).await;
        gate_state(nodes) == expected
    };
    process::wait_until(expected.as_str(), MAX_WAIT, reached)
        .await
        .unwrap();
}

/// Guards against a stalled backend server that stays in service because it answers probes,
/// one that is ejected without a lease, and one that never returns to service.
#[tokio::test]
async fn ejects_a_stalling_backend_server_only_under_a_lease() {
    let nodes = cluster::start_two_nodes(quick_detection_config(), Behaviour::default()).await;
    let _healthy = cluster::start_standin(&nodes.entry, "e2", Behaviour::default()).await;
    nodes.entry.wait_ready(2).await;
    wait_for_state(&nodes, ServingState::Ready).await;
    nodes.standin.set_behaviour(stalling());

    wait_for_state(&nodes, ServingState::Demoted).await;
    for _ in 0..8 {
        send_burst(&nodes).await;
        assert_ne!(
            gate_state(&nodes),
            ServingState::Ejected,
            "ejected without a lease"
        );
    }
    nodes
        .keepers
        .shared
        .grants_leases
        .store(true, Ordering::Relaxed);
    wait_for_state(&nodes, ServingState::Ejected).await;
    nodes.standin.set_behaviour(Behaviour::default());
    wait_for_state(&nodes, ServingState::Ready).await;
}

/// Guards against a demoted backend server that gets no more requests and so never returns to
/// service.
#[tokio::test]
async fn a_demoted_backend_server_returns_without_a_lease() {
    let nodes = cluster::start_two_nodes(quick_detection_config(), Behaviour::default()).await;
    let _healthy = cluster::start_standin(&nodes.entry, "e2", Behaviour::default()).await;
    nodes.entry.wait_ready(2).await;
    wait_for_state(&nodes, ServingState::Ready).await;
    nodes.standin.set_behaviour(stalling());
    let found_unhealthy = || async {
        send_burst(&nodes).await;
        nodes
            .gate
            .node
            .gate()
            .endpoints()
            .values()
            .all(|e| e.is_unhealthy())
    };
    process::wait_until("the stall is found", MAX_WAIT, found_unhealthy)
        .await
        .unwrap();

    nodes.standin.set_behaviour(Behaviour::default());

    let returned = || async {
        get(
            &Client::default(),
            nodes.entry.caller_address(),
            "/stock",
            "one",
        )
        .await;
        gate_state(&nodes) == ServingState::Ready
    };
    process::wait_until("the server returns", MAX_WAIT, returned)
        .await
        .unwrap();
}

/// Guards against a backend server that continues with a request whose caller has disconnected.
#[tokio::test]
async fn cancels_a_request_whose_caller_left() {
    let nodes = cluster::start_two_nodes(cluster::config(), stalling()).await;
    let client = Client::default();
    let at = nodes.entry.caller_address();

    let client_timeout = Duration::from_millis(300);
    let sent = client.send(Method::GET, at, "/stock", &[], Bytes::new(), client_timeout);
    assert!(sent.await.is_err());

    let cancelled = || async { nodes.standin.record().iter().any(|r| r.cancelled) };
    process::wait_until("the request is cancelled", MAX_WAIT, cancelled)
        .await
        .unwrap();
    nodes.standin.set_behaviour(Behaviour::default());
    assert_eq!(get(&client, at, "/stock", "next").await.status, 200);
}

/// Guards against a stalled request that waits until its deadline although another backend server
/// is idle.
#[tokio::test]
async fn hedges_a_stalled_request() {
    let nodes = cluster::start_two_nodes(quick_detection_config(), stalling()).await;
    let _healthy = cluster::start_standin(&nodes.gate, "e2", Behaviour::default()).await;
    nodes.entry.wait_ready(2).await;
    let client = Client::default();

    for i in 0..6 {
        let reply = get(
            &client,
            nodes.entry.caller_address(),
            "/stock",
            &i.to_string(),
        )
        .await;
        assert_eq!(reply.status, 200);
    }

    assert!(!nodes.standin.record().is_empty());
}

/// Guards against nodes that keep an old configuration because their keeper is isolated from the
/// others and does not report it.
#[tokio::test]
async fn holds_configuration_arrives_past_a_keeper_that_is_behind() {
    let nodes = cluster::start_two_nodes(cluster::config(), Behaviour::default()).await;
    let outdated = (KeeperId(1), ConfigVersion(1), cluster::config());
    *nodes.keepers.shared.outdated.lock().unwrap() = Some(outdated);
    let mut cfg = cluster::config();
    let name = RouteName::try_new("new").unwrap();
    cfg.routes.insert(name, cluster::route("/new", "GET", true));
    nodes.keepers.shared.set_config(2, cfg);

    for node in [&nodes.entry, &nodes.gate] {
        let in_force = || async { node.node.store().version() == ConfigVersion(2) };
        process::wait_until("the version is in force", MAX_WAIT, in_force)
            .await
            .unwrap();
    }

    let reply = get(
        &Client::default(),
        nodes.entry.caller_address(),
        "/new",
        "a",
    )
    .await;
    assert_eq!(reply.status, 200);
}
