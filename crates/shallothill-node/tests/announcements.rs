//! Announcements that are invalid, late or missing.

mod support;

use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use shallothill_core::health::ServingState;
use shallothill_core::ids::{EndpointName, ServiceName};
use shallothill_node::gate::{Announced, Announcement, StartTime};
use shallothill_node::settings::Bounds;
use shallothill_testing::http::Client;
use shallothill_testing::process;
use support::keepers::Keepers;
use support::{MAX_WAIT, cluster};

/// A lease that is short enough for a test to wait until it expires.
const SHORT_LEASE_MS: u64 = 300;

struct GateFixture {
    node: cluster::RunningNode,
    keepers: Keepers,
}

impl GateFixture {
    async fn start(announce_lease_ms: u64) -> Self {
        let keepers = Keepers::start(cluster::REGION, cluster::config()).await;
        let bounds = Bounds {
            announce_lease_ms,
            ..Bounds::default()
        };
        Self {
            node: cluster::RunningNode::start("n1", &keepers.addresses, bounds).await,
            keepers,
        }
    }

    fn announce(&self, name: &str, a: Announcement) {
        let service = ServiceName::try_new("courier").unwrap();
        let name = EndpointName::try_new(name).unwrap();
        // A rejected announcement must change nothing, which the tests check by the state.
        let _ = self.node.node.gate().announce(&service, &name, a);
    }

    async fn withdraw(&self, name: &str, started_ms: u64) {
        let service = ServiceName::try_new("courier").unwrap();
        let name = EndpointName::try_new(name).unwrap();
        let gate = self.node.node.gate();
        let withdrawn = gate.withdraw_announcement(&service, &name, StartTime::new(started_ms));
        withdrawn.await.unwrap();
    }

    fn state(&self, name: &str) -> Option<ServingState> {
        let statuses = self.node.node.gate().endpoint_statuses();
        let found = statuses.into_iter().find(|s| s.name.as_str() == name);
        found.map(|s| s.state)
    }

    async fn wait_until_gone(&self, name: &str) {
        let is_gone = || async { self.state(name).is_none() };
        process::wait_until("the announcement ends", MAX_WAIT, is_gone)
            .await
            .unwrap();
    }
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    since.as_millis() as u64
}

fn ready(started_ms: u64, sequence: u64) -> Announcement {
    Announcement {
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        state: Announced::Ready,
        slots: 5,
        start: StartTime::new(started_ms),
        sequence,
    }
}

fn draining(started_ms: u64, sequence: u64) -> Announcement {
    Announcement {
        state: Announced::Draining,
        ..ready(started_ms, sequence)
    }
}

/// Guards against a drain that is ignored because an announcement with the largest sequence number
/// made it look outdated.
#[tokio::test]
async fn a_sequence_jump_does_not_block_later_announcements() {
    let gate = GateFixture::start(120_000).await;
    let start = now_ms();
    gate.announce("e1", ready(start, 4));

    gate.announce("e1", ready(start, u64::MAX));
    gate.announce("e1", draining(start, 5));

    assert_eq!(gate.state("e1"), Some(ServingState::Draining));
}

/// Guards against a drain that is ignored because an announcement with a start time in the future
/// made it look outdated.
#[tokio::test]
async fn a_start_in_the_future_does_not_block_later_announcements() {
    let gate = GateFixture::start(120_000).await;
    let start = now_ms();
    gate.announce("e1", ready(start, 4));

    gate.announce("e1", ready(u64::MAX, 1));
    gate.announce("e2", ready(u64::MAX, 1));
    gate.announce("e1", draining(start, 5));

    assert_eq!(gate.state("e1"), Some(ServingState::Draining));
    assert_eq!(gate.state("e2"), None);
}

/// Guards against a backend server that stays unregistered after its announcements paused for
/// longer than the lease.
#[tokio::test]
async fn a_backend_server_returns_after_a_pause_beyond_the_lease() {
    let gate = GateFixture::start(SHORT_LEASE_MS).await;
    let start = now_ms();
    gate.announce("e1", ready(start, 1));
    gate.wait_until_gone("e1").await;

    gate.announce("e1", ready(start, 2));

    assert!(gate.state("e1").is_some());
}

/// Guards against a backend server that is registered again after its drain was acknowledged, by an
/// earlier announcement that arrives late.
#[tokio::test]
async fn a_late_announcement_does_not_undo_a_drain_or_departure() {
    let gate = GateFixture::start(SHORT_LEASE_MS).await;
    let start = now_ms();
    gate.announce("e1", draining(start, 7));
    gate.wait_until_gone("e1").await;

    gate.announce("e1", ready(start, 6));

    assert_eq!(gate.state("e1"), None);
}

/// Guards against a drain that was acknowledged and is undone by a later announcement of the same process,
/// as another writer may send it, and against a server that stays out after it was started again.
#[tokio::test]
async fn only_a_later_start_ends_a_drain() {
    let gate = GateFixture::start(10_000).await;
    let start = now_ms();
    gate.announce("e1", ready(start, 1));
    gate.announce("e1", draining(start, 2));

    gate.announce("e1", ready(start, 3));
    let same_process = gate.state("e1");
    gate.announce("e1", ready(start + 1, 1));

    assert_eq!(same_process, Some(ServingState::Draining));
    assert_ne!(gate.state("e1"), Some(ServingState::Draining));
}

/// Guards against a departure that is confirmed although the keepers do not have it, so that a
/// restart of the node would undo it, and against requests to a server whose departure is not
/// confirmed.
#[tokio::test]
async fn a_departure_is_confirmed_only_if_a_majority_of_the_keepers_has_it() {
    let mut gate = GateFixture::start(10_000).await;
    gate.announce("e1", ready(now_ms(), 1));
    let at = gate.node.node.addresses().announce;
    let client = Client::default();
    let withdraw = || {
        let path = "/announce/courier/e1";
        client.send(Method::DELETE, at, path, &[], Bytes::new(), MAX_WAIT)
    };

    gate.keepers.kill(0);
    let with_majority = withdraw().await.unwrap().status;
    gate.announce("e1", ready(now_ms(), 2));
    gate.keepers.kill(1);
    let without_majority = withdraw().await.unwrap().status;
    let state = gate.state("e1");

    assert_eq!(with_majority, StatusCode::NO_CONTENT);
    assert_eq!(without_majority, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(state, None);
}

/// Guards against a late withdrawal of an earlier process that removes the one that is running.
#[tokio::test]
async fn a_withdrawal_of_an_earlier_process_removes_no_later_one() {
    let gate = GateFixture::start(10_000).await;
    let start = now_ms();
    gate.announce("e1", ready(start, 1));

    gate.withdraw("e1", start - 1000).await;

    assert!(gate.state("e1").is_some());
}

/// Guards against an announcement without a start that brings back a backend server that has left.
#[tokio::test]
async fn only_a_later_start_ends_a_departure() {
    let gate = GateFixture::start(10_000).await;
    let start = now_ms();
    gate.announce("e1", ready(start, 1));
    gate.withdraw("e1", start).await;

    gate.announce("e1", ready(0, 2));
    let without_start = gate.state("e1");
    gate.announce("e1", ready(start + 1, 1));

    assert_eq!(without_start, None);
    assert!(gate.state("e1").is_some());
}

/// Guards against a backend server that can never register again after an announcement under
/// another name at its address.
#[tokio::test]
async fn a_second_name_at_an_address_does_not_end_the_first_permanently() {
    let gate = GateFixture::start(SHORT_LEASE_MS).await;
    let start = now_ms();
    gate.announce("e1", ready(start - 1000, 1));
    gate.announce("e2", ready(start, 1));
    gate.wait_until_gone("e2").await;

    gate.announce("e1", ready(start - 1000, 2));

    assert!(gate.state("e1").is_some());
}

fn announcement_with(path: &str, value: Value) -> String {
    let mut body = json!({
        "address": "127.0.0.1:9000", "state": "ready", "slots": 5, "started_ms": 1, "sequence": 1,
    });
    body[path] = value;
    body.to_string()
}

/// Guards against a node that exits, or ignores later announcements, after an announcement that is
/// deeply nested or has numbers out of range.
#[tokio::test]
async fn invalid_announcements_are_rejected_and_valid_ones_accepted() {
    let gate = GateFixture::start(120_000).await;
    let at = gate.node.node.addresses().announce;
    let client = Client::default();
    let send = async |body: String| {
        let path = "/announce/courier/e1";
        let sent = client.send(Method::PUT, at, path, &[], Bytes::from(body), MAX_WAIT);
        sent.await.map(|reply| reply.status)
    };
    let invalid = [
        "[".repeat(2000),
        "{\"a\":".repeat(600),
        json!(["127.0.0.1:9000", "ready", 5, 1, 1]).to_string(),
        announcement_with("address", json!("127.0.0.1:70000")),
        announcement_with("address", json!("127.0.0.1:0")),
        announcement_with("slots", json!(70_000)),
        announcement_with("slots", json!(-1)),
        announcement_with("sequence", json!(-1)),
        announcement_with("started_ms", json!(u64::MAX)),
        announcement_with("sequence", json!(1.5)),
        announcement_with("sequence", json!(0)).replace("e\":0", "e\":1e999"),
        announcement_with("sequence", json!(0)).replace("e\":0", "e\":99999999999999999999999999"),
    ];

    for body in invalid {
        let short: String = body.chars().take(120).collect();
        let refused = send(body).await;
        assert_eq!(refused.unwrap(), StatusCode::BAD_REQUEST, "{short}");
    }
    let accepted = send(announcement_with("sequence", json!(2))).await;

    assert_eq!(accepted.unwrap(), StatusCode::NO_CONTENT);
    assert!(gate.state("e1").is_some());
}
