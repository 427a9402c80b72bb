//! Links between nodes that are cut in one direction.

mod support;

use bytes::Bytes;
use hyper::Method;
use serde_json::Value;
use shallothill_testing::behaviour::Behaviour;
use shallothill_testing::http::Client;
use shallothill_testing::process;
use shallothill_testing::relay::{Direction, Relay};
use support::{LONG, book, cluster, get, key, outcome};

async fn relayed() -> (cluster::Pair, Relay) {
    let pair = cluster::pair(cluster::config(), Behaviour::default()).await;
    let peer = pair.gate.node.addresses().peer;
    let relay = Relay::start(cluster::local(), peer).await.unwrap();
    cluster::move_gate(&pair.entry, relay.address());
    (pair, relay)
}

/// Guards against requests that wait for their whole deadline on a link that is cut in one
/// direction, and against a link that is not used again after it heals.
#[tokio::test]
async fn notices_a_link_that_is_cut_in_one_direction() {
    for direction in [Direction::ToTarget, Direction::FromTarget] {
        let (pair, relay) = relayed().await;
        let client = Client::default();
        let at = pair.entry.caller();
        assert_eq!(get(&client, at, "/stock", "before").await.status, 200);
        relay.cut(direction);

        let cut = get(&client, at, "/stock", "cut").await;
        let deadline = cut.header("x-shallothill-reason") == Some("peer-silent");
        relay.heal(direction);
        let heals = || async { get(&client, at, "/stock", "after").await.status == 200 };
        process::wait_until("the link is used again", LONG, heals)
            .await
            .unwrap();

        assert_ne!(outcome(&cut), "answered");
        assert!(!deadline, "the cut was noticed only at the deadline");
    }
}

/// Guards against a booking that runs twice, or an answer for another caller, when replies are
/// held back and arrive late.
#[tokio::test]
async fn holds_late_replies_reach_nobody_else() {
    let (pair, relay) = relayed().await;
    let client = Client::default();
    let at = pair.entry.caller();
    assert_eq!(get(&client, at, "/stock", "before").await.status, 200);
    relay.cut(Direction::FromTarget);
    let key = key();

    let headers = [
        ("idempotency-key", &*key),
        ("x-shallothill-deadline-ms", "300"),
    ];
    let body = Bytes::from_static(b"a");
    let lost = client.send(Method::POST, at, "/book", &headers, body, LONG);
    let lost = lost.await.unwrap();
    relay.heal(Direction::FromTarget);
    for i in 0..10 {
        let reply = get(&client, at, "/stock", &i.to_string()).await;
        if reply.status == 200 {
            let answer: Value = serde_json::from_slice(&reply.body).unwrap();
            assert_eq!(answer["id"], i.to_string());
        }
    }
    let settled = || async { book(&client, at, &key, "a").await.unwrap().status == 200 };
    process::wait_until("the stored answer arrives", LONG, settled)
        .await
        .unwrap();

    assert_eq!(outcome(&lost), "unknown");
    let booked = pair
        .standin
        .record()
        .into_iter()
        .filter(|r| r.key.is_some());
    assert_eq!(booked.count(), 1);
}
