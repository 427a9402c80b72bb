//! Non-idempotent requests under resends, lost replies and dead nodes.

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
use support::{LONG, book, cluster, key, outcome, reason};

fn slow(ms: u64) -> Behaviour {
    Behaviour {
        latency_ms: ms,
        ..Behaviour::default()
    }
}

fn runs(standins: &[&Standin]) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    let records = standins.iter().flat_map(|s| s.record());
    for key in records.filter_map(|r| r.key) {
        *runs.entry(key).or_default() += 1;
    }
    runs
}

/// Guards against a booking that runs twice when callers resend it at once to several nodes, give
/// up early, or lose the reply.
#[tokio::test]
async fn holds_non_idempotent_runs_at_most_once() {
    let pair = cluster::pair(cluster::config(), slow(15)).await;
    let second = cluster::standin(&pair.entry, "e2", slow(15)).await;
    pair.entry.ready(2).await;
    pair.gate.ready(2).await;
    let client = Client::default();
    let keys: Vec<String> = (0..20).map(|_| key()).collect();

    let sends = keys.iter().enumerate().flat_map(|(i, key)| {
        let nodes = [pair.entry.caller(), pair.gate.caller()];
        let client = &client;
        (0..4).map(move |n| async move {
            // Every fourth sender loses its reply.
            let patience = if (i + n) % 4 == 0 {
                Duration::from_millis(10)
            } else {
                LONG
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
                    patience,
                )
                .await
        })
    });
    future::join_all(sends).await;
    let mut answered = 0;
    for key in &keys {
        let settled = || async {
            let reply = book(&client, pair.entry.caller(), key, "pickup")
                .await
                .unwrap();
            reply.status == 200
        };
        process::wait_until("the booking is answered", LONG, settled)
            .await
            .unwrap();
        answered += 1;
    }

    let runs = runs(&[&pair.standin, &second]);
    assert_eq!(answered, keys.len());
    assert!(runs.values().all(|n| *n == 1), "{runs:?}");
    assert_eq!(runs.len(), keys.len());
}

/// Guards against a booking that runs without a majority of keepers.
#[tokio::test]
async fn refuses_without_a_majority_of_keepers() {
    let mut pair = cluster::pair(cluster::config(), Behaviour::default()).await;
    let client = Client::default();
    pair.keepers.kill(0);
    let with_two = book(&client, pair.entry.caller(), &key(), "a")
        .await
        .unwrap();
    pair.keepers.kill(1);

    let with_one = book(&client, pair.entry.caller(), &key(), "a")
        .await
        .unwrap();

    assert_eq!(with_two.status, 200);
    assert_eq!(
        (with_one.status.as_u16(), reason(&with_one)),
        (503, "no-quorum")
    );
    assert_eq!(outcome(&with_one), "refused-not-run");
    assert_eq!(pair.standin.record().len(), 1);
    let idempotent = support::get(&client, pair.entry.caller(), "/stock", "s").await;
    assert_eq!(idempotent.status, 200);
}

/// Guards against a refusal after the claim that leaves the key taken, so that the booking could
/// not be sent again.
#[tokio::test]
async fn frees_the_key_of_a_request_that_was_not_sent() {
    let pair = cluster::pair(cluster::config(), Behaviour::default()).await;
    let client = Client::default();
    let announce = pair.gate.node.addresses().announce;
    let nowhere = json!({"address": "127.0.0.1:1", "state": "ready", "slots": 5}).to_string();
    let announced = client.send(
        Method::PUT,
        announce,
        "/announce/courier/e1",
        &[],
        Bytes::from(nowhere),
        LONG,
    );
    assert_eq!(announced.await.unwrap().status, 204);
    let key = key();

    let refused = book(&client, pair.gate.caller(), &key, "a").await.unwrap();
    let second = cluster::standin(&pair.gate, "e2", Behaviour::default()).await;
    let accepted = || async {
        let reply = book(&client, pair.gate.caller(), &key, "a").await.unwrap();
        reply.status == 200
    };
    process::wait_until("the booking runs elsewhere", LONG, accepted)
        .await
        .unwrap();

    assert_eq!(outcome(&refused), "refused-not-run");
    assert_eq!(second.record().len(), 1);
}

/// Guards against a booking that runs again after its gate was killed between claim and answer.
#[tokio::test]
async fn holds_killed_gate_runs_nothing_twice() {
    let dir = tempfile::tempdir().unwrap();
    let keepers = Keepers::start(cluster::REGION, cluster::config()).await;
    let mut gate = cluster::node_process("n2", &keepers, dir.path());
    let first = cluster::process_standin(&gate, "e1", slow(1000)).await;
    let entry = cluster::RunningNode::start("n1", &keepers.addresses, Default::default()).await;
    entry.ready(1).await;
    let client = Client::default();
    let key = key();

    let at = entry.caller();
    let (lost, ()) = future::join(book(&client, at, &key, "a"), async {
        process::wait_until("the booking runs", LONG, || async {
            !first.record().is_empty()
        })
        .await
        .unwrap();
        gate.kill();
    })
    .await;
    let second = cluster::standin(&entry, "e2", Behaviour::default()).await;
    entry.ready(2).await;
    for _ in 0..5 {
        let reply = book(&client, at, &key, "a").await.unwrap();
        assert_ne!(reply.status, 200);
        assert_eq!(outcome(&reply), "unknown", "{}", reason(&reply));
    }

    let lost = lost.unwrap();
    assert_eq!((lost.status.as_u16(), outcome(&lost)), (504, "unknown"));
    assert_eq!(first.record().len(), 1);
    assert!(second.record().is_empty());
}

/// Guards against SIGTERM that cuts requests off or ends with an error.
#[tokio::test]
async fn holds_sigterm_interrupts_nothing() {
    let dir = tempfile::tempdir().unwrap();
    let keepers = Keepers::start(cluster::REGION, cluster::config()).await;
    let node = cluster::node_process("n1", &keepers, dir.path());
    let standin = cluster::process_standin(&node, "e1", slow(300)).await;
    let client = Client::default();
    let at = node.address("caller").unwrap();
    let serves = || async {
        let sent = client.send(Method::GET, at, "/stock", &[], Bytes::new(), LONG);
        sent.await.is_ok_and(|r| r.status == 200)
    };
    process::wait_until("the node serves", LONG, serves)
        .await
        .unwrap();
    let before = standin.record().len();

    let key = key();
    let fetched = client.send(Method::GET, at, "/stock", &[], Bytes::new(), LONG);
    let (fetched, booked, status) = future::join3(fetched, book(&client, at, &key, "a"), async {
        let running = || async { standin.record().len() == before + 2 };
        process::wait_until("both run", LONG, running)
            .await
            .unwrap();
        tokio::task::spawn_blocking(move || node.terminate(LONG))
            .await
            .unwrap()
    })
    .await;

    assert_eq!(fetched.unwrap().status, 200);
    assert_eq!(booked.unwrap().status, 200);
    assert!(status.unwrap().success());
}
