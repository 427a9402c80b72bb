//! Non-idempotent requests with resends, lost replies and killed nodes.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use futures::future;
use hyper::Method;
use serde_json::json;
use shallothill_testing::behaviour::Behaviour;
use shallothill_testing::http::Client;
use shallothill_testing::process;
use shallothill_testing::standin::Standin;
use support::keepers::Keepers;
use support::{MAX_WAIT, cluster, new_key, outcome, reason, send_booking};

fn slow(ms: u64) -> Behaviour {
    Behaviour {
        latency_ms: ms,
        ..Behaviour::default()
    }
}

fn runs_by_key(standins: &[&Standin]) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    let records = standins.iter().flat_map(|s| s.record());
    for key in records.filter_map(|r| r.key) {
        *runs.entry(key).or_default() += 1;
    }
    runs
}

/// Guards against a booking that runs twice when callers send it to several nodes concurrently,
/// give up early or lose the reply.
#[tokio::test]
async fn holds_non_idempotent_runs_at_most_once() {
    let nodes = cluster::start_two_nodes(cluster::config(), slow(15)).await;
    let second = cluster::start_standin(&nodes.entry, "e2", slow(15)).await;
    nodes.entry.wait_ready(2).await;
    nodes.gate.wait_ready(2).await;
    let client = Client::default();
    let keys: Vec<String> = (0..20).map(|_| new_key()).collect();

    let sends = keys.iter().enumerate().flat_map(|(i, key)| {
        let nodes = [nodes.entry.caller_address(), nodes.gate.caller_address()];
        let client = &client;
        (0..4).map(move |n| async move {
            // Every fourth sender gives up before its reply arrives.
            let client_timeout = if (i + n) % 4 == 0 {
                Duration::from_millis(10)
            } else {
                MAX_WAIT
            };
            let headers = [("idempotency-key", key.as_str())];
            let body = Bytes::from_static(b"pickup");
            client
                .send(
                    Method::POST,
                    nodes[n % 2],
                    "/book",
                    &headers,
                    body,
                    client_timeout,
                )
                .await
        })
    });
    future::join_all(sends).await;
    let mut answered = 0;
    for key in &keys {
        let is_answered = || async {
            let reply = send_booking(&client, nodes.entry.caller_address(), key, "pickup")
                .await
                .unwrap();
            reply.status == 200
        };
        process::wait_until("the booking is answered", MAX_WAIT, is_answered)
            .await
            .unwrap();
        answered += 1;
    }

    let runs = runs_by_key(&[&nodes.standin, &second]);
    assert_eq!(answered, keys.len());
    assert!(runs.values().all(|n| *n == 1), "{runs:?}");
    assert_eq!(runs.len(), keys.len());
}

/// Guards against a booking that runs although no majority of keepers granted its claim.
#[tokio::test]
async fn refuses_without_a_majority_of_keepers() {
    let mut nodes = cluster::start_two_nodes(cluster::config(), Behaviour::default()).await;
    let client = Client::default();
    nodes.keepers.kill(0);
    let with_two = send_booking(&client, nodes.entry.caller_address(), &new_key(), "a")
        .await
        .unwrap();
    nodes.keepers.kill(1);

    let with_one = send_booking(&client, nodes.entry.caller_address(), &new_key(), "a")
        .await
        .unwrap();

    assert_eq!(with_two.status, 200);
    assert_eq!(
        (with_one.status.as_u16(), reason(&with_one)),
        (503, "no-quorum")
    );
    assert_eq!(outcome(&with_one), "refused-not-run");
    assert_eq!(nodes.standin.record().len(), 1);
    let idempotent = support::get(&client, nodes.entry.caller_address(), "/stock", "s").await;
    assert_eq!(idempotent.status, 200);
}

/// Guards against a key that stays claimed after its request was refused, so that a resend of the
/// booking would be refused too.
#[tokio::test]
async fn frees_the_key_of_a_request_that_was_not_sent() {
    let nodes = cluster::start_two_nodes(cluster::config(), Behaviour::default()).await;
    let client = Client::default();
    let announce = nodes.gate.node.addresses().announce;
    let nowhere = json!({"address": "127.0.0.1:1", "state": "ready", "slots": 5}).to_string();
    let announced = client.send(
        Method::PUT,
        announce,
        "/announce/courier/e1",
        &[],
        Bytes::from(nowhere),
        MAX_WAIT,
    );
    assert_eq!(announced.await.unwrap().status, 204);
    let key = new_key();

    let refused = send_booking(&client, nodes.gate.caller_address(), &key, "a")
        .await
        .unwrap();
    let second = cluster::start_standin(&nodes.gate, "e2", Behaviour::default()).await;
    let accepted = || async {
        let reply = send_booking(&client, nodes.gate.caller_address(), &key, "a")
            .await
            .unwrap();
        reply.status == 200
    };
    process::wait_until("the booking runs elsewhere", MAX_WAIT, accepted)
        .await
        .unwrap();

    assert_eq!(outcome(&refused), "refused-not-run");
    assert_eq!(second.record().len(), 1);
}

/// Guards against a booking that runs again after its gate was killed between the claim and the
/// response.
#[tokio::test]
async fn holds_killed_gate_runs_nothing_twice() {
    let dir = tempfile::tempdir().unwrap();
    let keepers = Keepers::start(cluster::REGION, cluster::config()).await;
    let mut gate = cluster::start_node_process("n2", &keepers, dir.path());
    let first = cluster::start_process_standin(&gate, "e1", slow(1000)).await;
    let entry = cluster::RunningNode::start("n1", &keepers.addresses, Default::default()).await;
    entry.wait_ready(1).await;
    let client = Client::default();
    let key = new_key();

    let at = entry.caller_address();
    let (lost, ()) = future::join(send_booking(&client, at, &key, "a"), async {
        process::wait_until("the booking runs", MAX_WAIT, || async {
            !first.record().is_empty()
        })
        .await
        .unwrap();
        gate.kill();
    })
    .await;
    let second = cluster::start_standin(&entry, "e2", Behaviour::default()).await;
    entry.wait_ready(2).await;
    for _ in 0..5 {
        let reply = send_booking(&client, at, &key, "a").await.unwrap();
        assert_ne!(reply.status, 200);
        assert_eq!(outcome(&reply), "unknown", "{}", reason(&reply));
    }

    let lost = lost.unwrap();
    assert_eq!((lost.status.as_u16(), outcome(&lost)), (504, "unknown"));
    assert_eq!(first.record().len(), 1);
    assert!(second.record().is_empty());
}

/// Guards against a stop by SIGTERM that interrupts requests in flight or exits with an error.
#[tokio::test]
async fn holds_sigterm_interrupts_nothing() {
    let dir = tempfile::tempdir().unwrap();
    let keepers = Keepers::start(cluster::REGION, cluster::config()).await;
    let node = cluster::start_node_process("n1", &keepers, dir.path());
    let standin = cluster::start_process_standin(&node, "e1", slow(300)).await;
    let client = Client::default();
    let at = node.address("caller").unwrap();
    let serves = || async {
        let sent = client.send(Method::GET, at, "/stock", &[], Bytes::new(), MAX_WAIT);
        sent.await.is_ok_and(|r| r.status == 200)
    };
    process::wait_until("the node serves", MAX_WAIT, serves)
        .await
        .unwrap();
    let before = standin.record().len();

    let key = new_key();
    let fetched = client.send(Method::GET, at, "/stock", &[], Bytes::new(), MAX_WAIT);
    let (fetched, booked, status) =
        future::join3(fetched, send_booking(&client, at, &key, "a"), async {
            let running = || async { standin.record().len() == before + 2 };
            process::wait_until("both run", MAX_WAIT, running)
                .await
                .unwrap();
            tokio::task::spawn_blocking(move || node.terminate(MAX_WAIT))
                .await
                .unwrap()
        })
        .await;

    assert_eq!(fetched.unwrap().status, 200);
    assert_eq!(booked.unwrap().status, 200);
    assert!(status.unwrap().success());
}
