//! Sick backend servers, callers that leave, and keepers that fall behind.

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
use support::{LONG, cluster, get};

fn quick() -> shallothill_core::config::Config {
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

fn state(pair: &cluster::Pair) -> ServingState {
    let endpoints = pair.gate.node.gate().endpoints();
    endpoints.values().next().unwrap().reported_load().state
}

async fn send_some(pair: &cluster::Pair) {
    let client = Client::default();
    let at = pair.entry.caller();
    let headers = [("x-shallothill-deadline-ms", "400")];
    let send = |_| client.send(Method::GET, at, "/stock", &headers, Bytes::new(), LONG);
    future::join_all((0..8).map(send)).await;
}

async fn reaches(pair: &cluster::Pair, wanted: ServingState) {
    let reached = || async {
        send_some(pair).await;
        state(pair) == wanted
    };
    process::wait_until(wanted.as_str(), LONG, reached)
        .await
        .unwrap();
}

/// Guards against a stalling backend server that stays in service although it answers probes, one
/// that is ejected without a lease, and one that never returns.
#[tokio::test]
async fn ejects_a_stalling_backend_server_only_under_a_lease() {
    let pair = cluster::pair(quick(), Behaviour::default()).await;
    let _healthy = cluster::standin(&pair.entry, "e2", Behaviour::default()).await;
    pair.entry.ready(2).await;
    reaches(&pair, ServingState::Ready).await;
    pair.standin.set_behaviour(stalling());

    reaches(&pair, ServingState::Demoted).await;
    for _ in 0..8 {
        send_some(&pair).await;
        assert_ne!(
            state(&pair),
            ServingState::Ejected,
            "ejected without a lease"
        );
    }
    pair.keepers.shared.grants.store(true, Ordering::Relaxed);
    reaches(&pair, ServingState::Ejected).await;
    pair.standin.set_behaviour(Behaviour::default());
    reaches(&pair, ServingState::Ready).await;
}

/// Guards against a demoted backend server that gets no request any more, and so never returns.
#[tokio::test]
async fn a_demoted_backend_server_returns_without_a_lease() {
    let pair = cluster::pair(quick(), Behaviour::default()).await;
    let _healthy = cluster::standin(&pair.entry, "e2", Behaviour::default()).await;
    pair.entry.ready(2).await;
    reaches(&pair, ServingState::Ready).await;
    pair.standin.set_behaviour(stalling());
    let sick = || async {
        send_some(&pair).await;
        pair.gate
            .node
            .gate()
            .endpoints()
            .values()
            .all(|e| e.is_unhealthy())
    };
    process::wait_until("the stall is found", LONG, sick)
        .await
        .unwrap();

    pair.standin.set_behaviour(Behaviour::default());

    let returned = || async {
        get(&Client::default(), pair.entry.caller(), "/stock", "one").await;
        state(&pair) == ServingState::Ready
    };
    process::wait_until("the server returns", LONG, returned)
        .await
        .unwrap();
}

/// Guards against a backend server that goes on with a request whose caller has left.
#[tokio::test]
async fn cancels_a_request_whose_caller_left() {
    let pair = cluster::pair(cluster::config(), stalling()).await;
    let client = Client::default();
    let at = pair.entry.caller();

    let patience = Duration::from_millis(300);
    let sent = client.send(Method::GET, at, "/stock", &[], Bytes::new(), patience);
    assert!(sent.await.is_err());

    let cancelled = || async { pair.standin.record().iter().any(|r| r.cancelled) };
    process::wait_until("the request is cancelled", LONG, cancelled)
        .await
        .unwrap();
    pair.standin.set_behaviour(Behaviour::default());
    assert_eq!(get(&client, at, "/stock", "next").await.status, 200);
}

/// Guards against a stalled request that costs its caller the deadline although another backend
/// server is free.
#[tokio::test]
async fn hedges_a_stalled_request() {
    let pair = cluster::pair(quick(), stalling()).await;
    let _healthy = cluster::standin(&pair.gate, "e2", Behaviour::default()).await;
    pair.entry.ready(2).await;
    let client = Client::default();

    for i in 0..6 {
        let reply = get(&client, pair.entry.caller(), "/stock", &i.to_string()).await;
        assert_eq!(reply.status, 200);
    }

    assert!(!pair.standin.record().is_empty());
}

/// Guards against a site that keeps an old configuration because its keeper is cut off from the
/// others and gives no sign of it.
#[tokio::test]
async fn holds_configuration_arrives_past_a_keeper_that_is_behind() {
    let pair = cluster::pair(cluster::config(), Behaviour::default()).await;
    let old = (KeeperId(1), ConfigVersion(1), cluster::config());
    *pair.keepers.shared.behind.lock().unwrap() = Some(old);
    let mut cfg = cluster::config();
    let name = RouteName::try_new("new").unwrap();
    cfg.routes.insert(name, cluster::route("/new", "GET", true));
    pair.keepers.shared.set_config(2, cfg);

    for node in [&pair.entry, &pair.gate] {
        let arrived = || async { node.node.store().version() == ConfigVersion(2) };
        process::wait_until("the version is in force", LONG, arrived)
            .await
            .unwrap();
    }

    let reply = get(&Client::default(), pair.entry.caller(), "/new", "a").await;
    assert_eq!(reply.status, 200);
}
