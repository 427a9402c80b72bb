//! Refusals, retries and the assignment of responses to requests.

mod support;

use std::collections::BTreeSet;

use bytes::Bytes;
use futures::future;
use hyper::Method;
use serde_json::{Value, json};
use shallothill_core::ids::ServiceName;
use shallothill_testing::behaviour::Behaviour;
use shallothill_testing::http::Client;
use shallothill_testing::process;
use support::{MAX_WAIT, cluster, get, outcome, reason};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

fn small_queue() -> shallothill_core::config::Config {
    let mut cfg = cluster::config();
    let name = ServiceName::try_new("courier").unwrap();
    let service = cfg.services.get_mut(&name).unwrap();
    service.slots = Some(1);
    service.queue = 4;
    cfg
}

fn slow(ms: u64) -> Behaviour {
    Behaviour {
        latency_ms: ms,
        ..Behaviour::default()
    }
}

/// Guards against a request that is refused as not run although a backend server ran it.
#[tokio::test]
async fn holds_refused_requests_did_not_run() {
    let nodes = cluster::start_two_nodes(small_queue(), slow(20)).await;
    let client = Client::default();

    let sent = (0..60).map(|i| {
        let (client, at) = (client.clone(), nodes.entry.caller_address());
        async move { get(&client, at, "/stock", &format!("r{i}")).await }
    });
    let replies = future::join_all(sent).await;

    let ran: BTreeSet<String> = nodes
        .standin
        .record()
        .into_iter()
        .filter_map(|r| r.id)
        .collect();
    let refused = |i: &usize| outcome(&replies[*i]) == "refused-not-run";
    let refused: Vec<usize> = (0..60).filter(refused).collect();
    assert!(!refused.is_empty(), "the queue was never full");
    assert!(refused.len() < 60, "nothing was answered");
    for i in refused {
        assert!(!ran.contains(&format!("r{i}")), "r{i} was refused and ran");
        assert_eq!(replies[i].status, 503);
        assert!(replies[i].header("retry-after").is_some());
    }
}

/// Guards against a response that reaches the caller of another request, also when responses are
/// late, cancelled or reordered.
#[tokio::test]
async fn holds_answers_belong_to_their_requests() {
    let nodes = cluster::start_two_nodes(cluster::config(), slow(5)).await;
    let client = Client::default();

    for round in 0..4 {
        let sent = (0..40).map(|i| {
            let (client, at) = (client.clone(), nodes.entry.caller_address());
            let id = format!("{round}-{i}");
            // Every third request has a deadline at about the time when its response arrives.
            let ms = if i % 3 == 0 { "12" } else { "5000" };
            async move {
                let headers = [("x-request-id", &*id), ("x-shallothill-deadline-ms", ms)];
                let path = format!("/stock/{id}");
                let sent = client.send(Method::GET, at, &path, &headers, Bytes::new(), MAX_WAIT);
                (id.clone(), sent.await)
            }
        });
        let replies = future::join_all(sent).await;
        let received = replies
            .iter()
            .filter_map(|(id, r)| Some((id, r.as_ref().ok()?)));
        let answered: Vec<_> = received.filter(|(_, r)| r.status == 200).collect();
        assert!(!answered.is_empty());
        for (id, reply) in answered {
            let body: Value = serde_json::from_slice(&reply.body).unwrap();
            assert_eq!(body["id"], **id);
        }
    }
}

/// Starts a server that reads a request on each connection and writes a truncated response.
async fn start_truncating_server(answer: &'static [u8]) -> std::net::SocketAddr {
    let listener = TcpListener::bind(cluster::any_local_port()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = [0; 4096];
            let _ = stream.read(&mut buf).await;
            let _ = stream.write_all(answer).await;
        }
    });
    address
}

/// Guards against a truncated response that looks complete to the caller.
#[tokio::test]
async fn holds_truncated_answers_abort() {
    let nodes = cluster::start_two_nodes(cluster::config(), Behaviour::default()).await;
    let client = Client::default();
    let answers: [&[u8]; 2] = [
        b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    ];

    for answer in answers {
        let announcement = json!({
            "address": start_truncating_server(answer).await, "state": "ready", "slots": 5,
        });
        let announce = nodes.gate.node.addresses().announce;
        let body = Bytes::from(announcement.to_string());
        let path = "/announce/courier/e1";
        let announced = client.send(Method::PUT, announce, path, &[], body, MAX_WAIT);
        assert_eq!(announced.await.unwrap().status, 204);
        for at in [nodes.entry.caller_address(), nodes.gate.caller_address()] {
            let sent = client.send(Method::GET, at, "/stock", &[], Bytes::new(), MAX_WAIT);
            let sent = sent.await.map(|r| (r.status, reason(&r).to_owned()));
            assert!(sent.is_err(), "passed on as complete: {sent:?}");
            let booked = support::send_booking(&client, at, &support::new_key(), "a")
                .await
                .unwrap();
            assert_eq!((booked.status.as_u16(), outcome(&booked)), (504, "unknown"));
        }
    }
}

/// Guards against internal requests that take slots and queue places from callers' requests.
#[tokio::test]
async fn serves_callers_before_internal_work() {
    let nodes = cluster::start_two_nodes(small_queue(), slow(20)).await;
    let client = Client::default();
    let send = |path: &'static str, n: usize| {
        let (client, at) = (client.clone(), nodes.entry.caller_address());
        let sent = move |i| {
            let client = client.clone();
            async move { get(&client, at, path, &format!("{path}{i}")).await }
        };
        future::join_all((0..n).map(sent))
    };

    let (internal, shop) = future::join(send("/internal", 12), send("/stock", 4)).await;

    let served = |replies: &[shallothill_testing::http::Reply]| {
        replies.iter().filter(|r| r.status == 200).count()
    };
    assert!(served(&shop) >= 3, "callers: {}", served(&shop));
    assert!(served(&internal) < 12);
    assert!(
        internal
            .iter()
            .any(|r| matches!(reason(r), "shed" | "queue-full"))
    );
}

/// Guards against a retry of a request that ran, and against a missing retry of one that was shed.
#[tokio::test]
async fn retries_an_idempotent_request_elsewhere() {
    let nodes = cluster::start_two_nodes(cluster::config(), Behaviour::default()).await;
    let shedding = Behaviour {
        shed_percent: 100,
        ..Behaviour::default()
    };
    let second = cluster::start_standin(&nodes.entry, "e2", shedding).await;
    nodes.entry.wait_ready(2).await;
    let client = Client::default();

    for i in 0..10 {
        let reply = get(
            &client,
            nodes.entry.caller_address(),
            "/stock",
            &i.to_string(),
        )
        .await;
        assert_eq!(reply.status, 200);
    }

    assert_eq!(nodes.standin.record().len(), 10);
    assert!(second.record().is_empty());
}

/// Guards against malformed messages that the HTTP library rejects and that no counter counts.
#[tokio::test]
async fn counts_messages_that_cannot_be_read() {
    let nodes = cluster::start_two_nodes(cluster::config(), Behaviour::default()).await;
    // Exactly as long as the node reads, since unread bytes would reset the connection before the
    // response arrives.
    let mut large = "GET /stock HTTP/1.1\r\nx: ".to_owned();
    large.push_str(&"x".repeat(64 * 1024 - large.len()));
    let messages = [
        ("GET /stock HTTP/1.1\r\nbad header\r\n\r\n", " 400 "),
        (large.as_str(), " 431 "),
    ];

    for (message, status) in messages {
        let mut stream = TcpStream::connect(nodes.entry.caller_address())
            .await
            .unwrap();
        stream.write_all(message.as_bytes()).await.unwrap();
        let mut first = [0; 16];
        stream.read_exact(&mut first).await.unwrap();
        let first = String::from_utf8_lossy(&first);
        assert!(first.contains(status), "{first}");
    }

    let counters = nodes.entry.node.counters();
    let counted = || async { counters.dump()["malformed"] == 2 };
    process::wait_until("both are counted", MAX_WAIT, counted)
        .await
        .unwrap();
    assert!(nodes.standin.record().is_empty());
}
