//! Datagrams that inform nodes of the state of a backend server.

mod support;

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use shallothill_core::health::ServingState;
use shallothill_core::ids::{Region, ServiceName};
use shallothill_node::node::Node;
use shallothill_node::settings::Bounds;
use shallothill_testing::behaviour::Behaviour;
use shallothill_testing::http::Client;
use shallothill_testing::process;
use support::{MAX_WAIT, cluster};
use tokio_util::sync::CancellationToken;

fn gray_config() -> shallothill_core::config::Config {
    let mut cfg = cluster::config();
    let service = cfg.services.values_mut().next().unwrap();
    service.gray_percent = 30;
    // A failure counts when it is much faster than usual.
    service.expected_latency = Duration::from_secs(2);
    cfg
}

fn failing() -> Behaviour {
    Behaviour {
        error_percent: 100,
        ..Behaviour::default()
    }
}

/// Whether the pick table of `node` shows a suspicion that its gate holds on to for a while.
fn suspects(node: &Node) -> bool {
    let tables = node.view().tables();
    let service = ServiceName::try_new("courier").unwrap();
    let Some(endpoint) = tables.service(&service).and_then(|t| t.endpoints().first()) else {
        return false;
    };
    let stats = &endpoint.stats;
    let now = node.timer().now();
    let state = stats.believed_state(now, Duration::ZERO);
    matches!(state, Some(ServingState::Demoted | ServingState::Ejected))
}

/// Sends a request through the node of the gate, so that no reply informs another node.
async fn fail_at_gate(nodes: &cluster::TwoNodes) {
    let at = nodes.gate.caller_address();
    let client = Client::default();
    let sent = client.send(Method::GET, at, "/stock", &[], Bytes::new(), MAX_WAIT);
    assert_ne!(sent.await.unwrap().status, 200);
}

/// Guards against nodes of the region that send to a suspected server because they have sent nothing
/// to it lately.
#[tokio::test]
async fn the_region_learns_a_suspicion_without_a_request() {
    let nodes = cluster::start_two_nodes(gray_config(), failing()).await;

    fail_at_gate(&nodes).await;

    let informed = || async { suspects(&nodes.entry.node) };
    process::wait_until("the neighbour is informed", MAX_WAIT, informed)
        .await
        .unwrap();
}

/// Guards against senders of other regions that learn a suspicion only from refusals.
#[tokio::test]
async fn a_sender_of_another_region_learns_a_suspicion() {
    let nodes = cluster::start_two_nodes(gray_config(), Behaviour::default()).await;
    let mut settings = cluster::settings("n3", &nodes.keepers.addresses, Bounds::default());
    settings.region = Region::try_new("south").unwrap();
    let stop = CancellationToken::new();
    let _stop = stop.clone().drop_guard();
    let far = Node::start(settings, stop).await.unwrap();
    let client = Client::default();
    let answered = || async {
        let at = far.addresses().caller;
        let sent = client.send(Method::GET, at, "/stock", &[], Bytes::new(), MAX_WAIT);
        sent.await.is_ok_and(|r| r.status == 200)
    };
    process::wait_until("the far node serves", MAX_WAIT, answered)
        .await
        .unwrap();
    // The gate finds its senders in the directory.
    let known = || async { nodes.gate.node.view().node_count() == 3 };
    process::wait_until("the gate knows the sender", MAX_WAIT, known)
        .await
        .unwrap();
    assert!(!suspects(&far));

    nodes.standin.set_behaviour(failing());
    // One failure at a proven server is not enough for a suspicion.
    fail_at_gate(&nodes).await;
    fail_at_gate(&nodes).await;

    let informed = || async { suspects(&far) };
    process::wait_until("the sender is informed", MAX_WAIT, informed)
        .await
        .unwrap();
}
