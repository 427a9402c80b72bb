//! Calls that a backend server makes while it runs a request.

mod support;

use std::time::Duration;

use futures::future;
use shallothill_testing::behaviour::Behaviour;
use shallothill_testing::http::Client;
use shallothill_testing::process;
use support::nested::NestedServices;
use tokio::time;

use support::{MAX_WAIT, get, reason};

/// Guards against a request that fails after its backend server has worked for it, because a call
/// that the server makes finds no capacity for a moment.
#[tokio::test]
async fn a_call_waits_where_a_new_request_is_refused() {
    let services = NestedServices::start(Duration::from_secs(10)).await;
    let client = Client::default();
    services.occupy_pricing("first").await;

    let at = services.entry.caller_address();
    let new = get(&client, at, "/price/of", "new").await;
    let nested = get(&client, at, "/stock", "nested").await;

    assert_eq!((new.status.as_u16(), reason(&new)), (503, "queue-full"));
    assert_eq!(nested.status, 200, "{}", reason(&nested));
}

/// Guards against requests that take slots and then fail one after the other, because the service
/// that they call stays full.
#[tokio::test]
async fn requests_are_refused_at_once_while_their_calls_are() {
    let services = NestedServices::start(Duration::from_millis(1500)).await;
    let client = Client::default();
    let at = services.entry.caller_address();
    let (entry, pricing) = (&services.entry.node, &services.pricing);
    pricing.set_behaviour(Behaviour {
        latency_ms: 300,
        ..pricing.behaviour()
    });
    let blockers = (0..4).map(|_| {
        let client = client.clone();
        tokio::spawn(async move {
            loop {
                get(&client, at, "/price/of", "blocker").await;
            }
        })
    });
    let blockers: Vec<_> = blockers.collect();

    let refused = || async {
        let client = &client;
        // Calls are recognised by the time that is left, so the requests start apart.
        let requests = (0..8).map(|i| async move {
            time::sleep(Duration::from_millis(30 * i)).await;
            get(client, at, "/stock", "nested").await
        });
        let replies = future::join_all(requests).await;
        replies.iter().any(|r| {
            let refused = reason(r) == "calls-refused";
            refused && r.status == 503 && r.header("retry-after").is_some()
        })
    };
    process::wait_until("a request is refused at once", MAX_WAIT, refused)
        .await
        .unwrap();

    assert_eq!(entry.entry().limited_routes(), 1);
    blockers.iter().for_each(|b| b.abort());
}
