//! Requests from a caller through an entry node and a gate to a backend server.

mod support;

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::{Method, Request};
use hyper_util::client::legacy;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use shallothill_testing::behaviour::Behaviour;
use shallothill_testing::http::Client;
use support::{MAX_WAIT, cluster, get, new_key, outcome, reason, send_booking};

/// Guards against a request that is lost or modified between two nodes.
#[tokio::test]
async fn passes_requests_over_two_nodes() {
    let nodes = cluster::start_two_nodes(cluster::config(), Behaviour::default()).await;
    let client = Client::default();

    for at in [nodes.entry.caller_address(), nodes.gate.caller_address()] {
        let reply = get(&client, at, "/stock/7?x=1", "a1").await;
        let body: Value = serde_json::from_slice(&reply.body).unwrap();

        assert_eq!(reply.status, 200);
        assert_eq!(outcome(&reply), "answered");
        assert_eq!(body["path"], "/stock/7?x=1");
        assert_eq!(body["id"], "a1");
    }
    assert_eq!(nodes.standin.record().len(), 2);
}

/// Guards against an entry node that accepts only one HTTP version.
#[tokio::test]
async fn serves_http2_callers() {
    let nodes = cluster::start_two_nodes(cluster::config(), Behaviour::default()).await;
    let client = legacy::Client::builder(TokioExecutor::new())
        .http2_only(true)
        .build_http::<Empty<Bytes>>();
    let uri = format!("http://{}/stock", nodes.entry.caller_address());

    let response = client
        .request(Request::get(uri).body(Empty::new()).unwrap())
        .await
        .unwrap();

    assert_eq!(response.status(), 200);
    assert_eq!(response.headers()["x-shallothill-outcome"], "answered");
    assert!(
        !response
            .into_body()
            .collect()
            .await
            .unwrap()
            .to_bytes()
            .is_empty()
    );
}

/// Guards against large bodies that are buffered, truncated or reordered in either direction.
#[tokio::test]
async fn streams_large_bodies() {
    let behaviour = Behaviour {
        answer_bytes: 3_000_000,
        ..Behaviour::default()
    };
    let nodes = cluster::start_two_nodes(cluster::config(), behaviour).await;
    let body = Bytes::from(vec![7; 900_000]);

    let reply = Client::default()
        .send(
            Method::PUT,
            nodes.entry.caller_address(),
            "/stock/items",
            &[],
            body,
            MAX_WAIT,
        )
        .await
        .unwrap();
    let answer: Value = serde_json::from_slice(&reply.body).unwrap();

    assert_eq!(answer["body_bytes"], 900_000);
    assert_eq!(answer["padding"].as_str().unwrap().len(), 3_000_000);
}

/// Guards against wrong statuses, and refusals without an outcome, a reason or `Retry-After`.
#[tokio::test]
async fn refuses_with_the_right_status() {
    let nodes = cluster::start_two_nodes(cluster::config(), Behaviour::default()).await;
    let client = Client::default();
    let at = nodes.entry.caller_address();
    let large = Bytes::from(vec![0; 1_100_000]);
    let long = "x".repeat(17_000);
    let limited = [("x-shallothill-caller", "limited")];
    let cases = [
        (Method::GET, "/none", ("x-a", "1"), Bytes::new(), 404),
        (Method::GET, "/stockings", ("x-a", "1"), Bytes::new(), 404),
        (Method::PATCH, "/stock", ("x-a", "1"), Bytes::new(), 405),
        (Method::POST, "/book", ("x-a", "1"), Bytes::new(), 400),
        (
            Method::PUT,
            "/stock/items/%2E./../book",
            ("x-a", "1"),
            Bytes::new(),
            400,
        ),
        (
            Method::POST,
            "/book",
            ("idempotency-key", "1"),
            Bytes::new(),
            400,
        ),
        (
            Method::GET,
            "/stock",
            ("x-shallothill-deadline-ms", "x"),
            Bytes::new(),
            400,
        ),
        (Method::PUT, "/stock/items", ("x-a", "1"), large, 413),
        (Method::GET, "/stock", ("x-long", &*long), Bytes::new(), 431),
    ];

    for (method, path, header, body, status) in cases {
        let reply = client
            .send(method, at, path, &[header], body, MAX_WAIT)
            .await
            .unwrap();
        assert_eq!(reply.status, status, "{path}");
        assert_eq!(outcome(&reply), "refused-not-run", "{path}");
        assert_ne!(reason(&reply), "none", "{path}");
    }
    let send = || client.send(Method::GET, at, "/stock", &limited, Bytes::new(), MAX_WAIT);
    let first = send().await.unwrap();
    let second = send().await.unwrap();

    assert_eq!((first.status.as_u16(), second.status.as_u16()), (200, 429));
    assert!(second.header("retry-after").is_some());
    assert_eq!(nodes.standin.record().len(), 1);
}

/// Guards against a caller that controls the routing between nodes by sending internal headers.
#[tokio::test]
async fn drops_own_headers_of_callers() {
    let nodes = cluster::start_two_nodes(cluster::config(), Behaviour::default()).await;
    let headers = [
        ("x-shallothill-endpoint", "e9"),
        ("x-shallothill-service", "other"),
        ("x-shallothill-class", "editor"),
    ];

    let client = Client::default();
    let at = nodes.entry.caller_address();
    let reply = client
        .send(Method::GET, at, "/stock", &headers, Bytes::new(), MAX_WAIT)
        .await
        .unwrap();
    let internal = client
        .send(
            Method::GET,
            at,
            "/internal",
            &headers,
            Bytes::new(),
            MAX_WAIT,
        )
        .await
        .unwrap();

    assert_eq!(
        (reply.status.as_u16(), internal.status.as_u16()),
        (200, 200)
    );
    let classes: Vec<_> = nodes
        .standin
        .record()
        .into_iter()
        .map(|r| r.class)
        .collect();
    assert_eq!(
        classes,
        [Some("shop".to_owned()), Some("editor".to_owned())]
    );
}

/// Guards against a non-idempotent request that is refused, or whose stored response is not
/// returned to a resend.
#[tokio::test]
async fn books_once_and_gives_the_stored_answer_again() {
    let nodes = cluster::start_two_nodes(cluster::config(), Behaviour::default()).await;
    let client = Client::default();
    let key = new_key();

    let first = send_booking(&client, nodes.entry.caller_address(), &key, "a")
        .await
        .unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let again = send_booking(&client, nodes.gate.caller_address(), &key, "a")
        .await
        .unwrap();
    let other = send_booking(&client, nodes.entry.caller_address(), &key, "b")
        .await
        .unwrap();

    assert_eq!((first.status.as_u16(), outcome(&first)), (200, "answered"));
    assert_eq!((again.status.as_u16(), reason(&again)), (200, "stored"));
    assert_eq!(first.body, again.body);
    assert_eq!((other.status.as_u16(), reason(&other)), (409, "key-reused"));
    assert_eq!(nodes.standin.record().len(), 1);
}
