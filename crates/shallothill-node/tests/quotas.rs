//! Callers with quotas at nodes with real keepers.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use serde_json::{Value, json};
use shallothill_node::settings::Bounds;
use shallothill_testing::behaviour::Behaviour;
use shallothill_testing::http::{Client, Reply};
use shallothill_testing::process;
use shallothill_testing::standin::Standin;
use support::cluster::RunningNode;
use support::real_keepers::RealKeepers;
use support::{MAX_WAIT, cluster, outcome, reason};
use tokio::time;
use tokio::time::Instant;

const RATE: f64 = 20.0;
const BURST: f64 = 10.0;

/// The bound on the requests that run within `time`, if it is at least one window of 5 s.
fn bound(time: Duration) -> f64 {
    (RATE * time.as_secs_f64().max(5.0) + BURST) * 1.1 + 20.0
}

fn config_text() -> String {
    let service = json!({
        "slots": 50, "connections": 300, "floor": 1, "disposition": "cautious",
        "expected_latency": "5ms", "cold_start_requests": 0,
    });
    let route = |path: &str, public: bool| {
        json!({
            "service": "courier", "methods": ["GET"], "path": path, "idempotent": true,
            "class": "shop", "deadline": "10s", "public": public,
        })
    };
    let document = json!({
        "regions": [cluster::REGION],
        "require_keys": true,
        "services": {"courier": service},
        "routes": {"stock": route("/stock", false), "open": route("/open", true)},
        "callers": {
            "limited": {
                "class": "shop", "keys": ["key-limited"],
                "quota": {"requests_per_s": RATE, "burst": BURST as u32},
            },
            "free": {"class": "shop", "keys": ["key-free"]},
        },
    });
    document.to_string()
}

struct Fleet {
    keepers: RealKeepers,
    nodes: Vec<RunningNode>,
    standin: Standin,
    client: Client,
}

async fn start_fleet() -> Fleet {
    let keepers = RealKeepers::start(3, &config_text()).await;
    let mut nodes = Vec::new();
    for name in ["n1", "n2"] {
        nodes.push(RunningNode::start(name, &keepers.addresses, Bounds::default()).await);
    }
    let behaviour = Behaviour {
        latency_ms: 2,
        ..Behaviour::default()
    };
    let standin = cluster::start_standin(&nodes[1], "e1", behaviour).await;
    for node in &nodes {
        node.wait_ready(1).await;
    }
    Fleet {
        keepers,
        nodes,
        standin,
        client: Client::default(),
    }
}

async fn send(client: &Client, at: SocketAddr, key: &str) -> Reply {
    let headers = [("x-shallothill-key", key)];
    client
        .send(Method::GET, at, "/stock", &headers, Bytes::new(), MAX_WAIT)
        .await
        .unwrap()
}

/// `Tally` counts the replies of one sender.
#[derive(Debug, Default)]
struct Tally {
    answered: usize,
    over_quota: usize,
    no_credit: usize,
}

impl Tally {
    fn count(&mut self, reply: &Reply) {
        match (reply.status.as_u16(), reason(reply)) {
            (200, _) => self.answered += 1,
            (429, "over-quota") => {
                assert_eq!(outcome(reply), "refused-not-run");
                assert!(reply.header("retry-after").is_some());
                self.over_quota += 1;
            }
            (503, "no-credit") => {
                assert_eq!(outcome(reply), "refused-not-run");
                self.no_credit += 1;
            }
            other => panic!("{other:?}"),
        }
    }
}

/// Sends some 50 requests a second to each node for `time`, one after the other at each of 4 senders.
async fn send_excess(fleet: &Fleet, time: Duration) -> Tally {
    let end = Instant::now() + time;
    let senders = fleet.nodes.iter().flat_map(|node| {
        let at = node.caller_address();
        (0..4).map(move |_| at)
    });
    let tallies = senders.map(|at| {
        let client = fleet.client.clone();
        async move {
            let mut tally = Tally::default();
            while Instant::now() < end {
                tally.count(&send(&client, at, "key-limited").await);
                time::sleep(Duration::from_millis(75)).await;
            }
            tally
        }
    });
    let mut sum = Tally::default();
    for tally in futures::future::join_all(tallies).await {
        sum.answered += tally.answered;
        sum.over_quota += tally.over_quota;
        sum.no_credit += tally.no_credit;
    }
    sum
}

fn dump_credit(node: &RunningNode) -> Value {
    node.node.counters().dump()["credit"].clone()
}

/// Guards against nodes that each grant a whole quota, or a small part of it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn holds_one_quota_over_two_nodes() {
    let fleet = start_fleet().await;

    let start = Instant::now();
    let tally = send_excess(&fleet, Duration::from_secs(6)).await;
    let took = start.elapsed();

    assert_eq!(fleet.standin.record().len(), tally.answered);
    assert!(
        tally.answered as f64 <= bound(took),
        "{tally:?} in {took:?}"
    );
    assert!(tally.answered as f64 >= RATE * 3.0, "{tally:?} in {took:?}");
    assert!(tally.over_quota > 0, "{tally:?}");
    for node in &fleet.nodes {
        let credit = dump_credit(node);
        assert!(credit["waited"].as_u64() > Some(0), "{credit}");
    }
}

/// Guards against a quota that begins anew, or ends, with each primary of the keepers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn holds_a_quota_while_the_primary_is_killed() {
    let mut fleet = start_fleet().await;
    let start = Instant::now();
    let before = send_excess(&fleet, Duration::from_secs(3)).await;

    let primary = fleet.keepers.primary().await;
    fleet.keepers.kill(primary);
    let after = send_excess(&fleet, Duration::from_secs(5)).await;
    let took = start.elapsed();

    let answered = before.answered + after.answered;
    assert_eq!(fleet.standin.record().len(), answered);
    assert!(
        answered as f64 <= bound(took),
        "{before:?}, {after:?} in {took:?}"
    );
    let client = &fleet.client;
    for node in &fleet.nodes {
        let served = || async {
            send(client, node.caller_address(), "key-limited")
                .await
                .status
                == 200
        };
        process::wait_until("the caller is served again", MAX_WAIT, served)
            .await
            .unwrap();
    }
}

/// Guards against callers without a quota, or public routes, that depend on credit or cause messages.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn serves_callers_without_a_quota_without_keepers() {
    let mut fleet = start_fleet().await;
    (0..3).for_each(|i| fleet.keepers.kill(i));

    for node in &fleet.nodes {
        let at = node.caller_address();
        for _ in 0..20 {
            assert_eq!(send(&fleet.client, at, "key-free").await.status, 200);
        }
        let open = support::get(&fleet.client, at, "/open", "r1").await;
        assert_eq!(open.status, 200);
        let limited = send(&fleet.client, at, "key-limited").await;
        assert_eq!(
            (limited.status.as_u16(), reason(&limited)),
            (503, "no-credit")
        );
        assert_eq!(outcome(&limited), "refused-not-run");
        let credit = dump_credit(node);
        let expected = json!({"local": 0, "waited": 0, "denied": 0, "no_answer": 1});
        assert_eq!(credit, expected);
    }
}
