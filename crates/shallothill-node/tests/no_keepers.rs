//! Non-idempotent requests while no keeper of a region can be reached.

mod support;

use bytes::Bytes;
use hyper::Method;
use shallothill_node::settings::Bounds;
use shallothill_testing::behaviour::Behaviour;
use shallothill_testing::http::Client;
use shallothill_testing::relay::{Direction, Relay};
use support::cluster::RunningNode;
use support::keepers::Keepers;
use support::{cluster, new_key, outcome, reason};

#[derive(Clone, Copy, Debug)]
enum Loss {
    /// Connections to the keepers are refused.
    Refused,
    /// Messages to the keepers are lost without an error.
    Silent,
}

/// Checks that bookings are refused in time, with an entry node without backend servers and a gate
/// with three.
async fn check_bookings_without_keepers(loss: Loss, deadline_ms: u64) {
    let mut keepers = Keepers::start(cluster::REGION, cluster::config()).await;
    let mut relays = Vec::new();
    if matches!(loss, Loss::Silent) {
        for keeper in &mut keepers.addresses {
            let relay = Relay::start(cluster::any_local_port(), keeper.control_address);
            let relay = relay.await.unwrap();
            keeper.control_address = relay.address();
            relays.push(relay);
        }
    }
    let entry = RunningNode::start("n1", &keepers.addresses, Bounds::default()).await;
    let gate = RunningNode::start("n2", &keepers.addresses, Bounds::default()).await;
    let mut standins = Vec::new();
    for name in ["e1", "e2", "e3"] {
        standins.push(cluster::start_standin(&gate, name, Behaviour::default()).await);
    }
    entry.wait_ready(3).await;
    gate.wait_ready(3).await;
    (0..3).for_each(|i| match loss {
        Loss::Refused => keepers.kill(i),
        Loss::Silent => relays[i].cut(Direction::ToTarget),
    });

    let client = Client::default();
    let key = new_key();
    let deadline = deadline_ms.to_string();
    let headers = [
        ("idempotency-key", &*key),
        ("x-shallothill-deadline-ms", &*deadline),
    ];
    for (origin, at) in [
        ("remote", entry.caller_address()),
        ("local", gate.caller_address()),
    ] {
        let body = Bytes::from_static(b"a");
        let sent = client.send(Method::POST, at, "/book", &headers, body, support::MAX_WAIT);
        let case = format!("{loss:?}, {origin}, {deadline_ms} ms");
        let reply = sent.await.unwrap_or_else(|e| panic!("{case}: {e}"));

        // The last attempt may also be refused because too little time is left.
        let got = (reply.status.as_u16(), outcome(&reply));
        assert_eq!(got, (503, "refused-not-run"), "{case}: {}", reason(&reply));
        assert!(reply.header("retry-after").is_some(), "{case}");
    }
    assert!(standins.iter().all(|s| s.record().is_empty()));
}

/// Guards against a refusal that arrives after the entry node has given up, so that a booking that
/// did not run is reported as unknown, when connections to the keepers are refused.
#[tokio::test]
async fn refuses_in_time_when_keepers_refuse_connections() {
    check_bookings_without_keepers(Loss::Refused, 1000).await;
}

/// Guards against the same late refusal when messages to the keepers are lost.
#[tokio::test]
async fn refuses_in_time_when_keepers_are_silent() {
    check_bookings_without_keepers(Loss::Silent, 1000).await;
}

/// Guards against a last attempt whose claim takes longer than the deadline, after earlier attempts
/// were refused.
#[tokio::test]
async fn refuses_in_time_after_several_attempts() {
    check_bookings_without_keepers(Loss::Refused, 3000).await;
}
