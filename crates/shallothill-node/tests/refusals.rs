//! What a refusal promises, and that answers reach the right caller.

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
use support::{LONG, cluster, get, outcome, reason};
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

/// Guards against a request that a caller is told did not run, while a backend server ran it.
#[tokio::test]
async fn holds_refused_requests_did_not_run() {
    let pair = cluster::pair(small_queue(), slow(20)).await;
    let client = Client::default();

    let sent = (0..60).map(|i| {
        let (client, at) = (client.clone(), pair.entry.caller());
        async move { get(&client, at, "/stock", &format!("r{i}")).await }
    });
    let replies = future::join_all(sent).await;

    let ran: BTreeSet<String> = pair
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

/// Guards against an answer that reaches the caller of another request, also when answers are
/// late, cancelled or overtake each other.
#[tokio::test]
async fn holds_answers_belong_to_their_requests() {
    let pair = cluster::pair(cluster::config(), slow(5)).await;
    let client = Client::default();

    for round in 0..4 {
        let sent = (0..40).map(|i| {
            let (client, at) = (client.clone(), pair.entry.caller());
            let id = format!("{round}-{i}");
            // Every third request gives up about when its answer arrives.
            let ms = if i % 3 == 0 { "12" } else { "5000" };
            async move {
                let headers = [("x-request-id", &*id), ("x-shallothill-deadline-ms", ms)];
                let path = format!("/stock/{id}");
                let sent = client.send(Method::GET, at, &path, &headers, Bytes::new(), LONG);
                (id.clone(), sent.await)
            }
        });
        let replies = future::join_all(sent).await;
        let whole = replies
            .iter()
            .filter_map(|(id, r)| Some((id, r.as_ref().ok()?)));
        let answered: Vec<_> = whole.filter(|(_, r)| r.status == 200).collect();
        assert!(!answered.is_empty());
        for (id, reply) in answered {
            let body: Value = serde_json::from_slice(&reply.body).unwrap();
            assert_eq!(body["id"], **id);
        }
    }
}

/// Accepts connections, reads a request each and writes half an answer.
async fn half_answers(answer: &'static [u8]) -> std::net::SocketAddr {
    let listener = TcpListener::bind(cluster::local()).await.unwrap();
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

/// Guards against a truncated answer that looks whole to the caller.
#[tokio::test]
async fn holds_truncated_answers_abort() {
    let pair = cluster::pair(cluster::config(), Behaviour::default()).await;
    let client = Client::default();
    let answers: [&[u8]; 2] = [
        b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    ];

    for answer in answers {
        let announcement = json!({
            "address": half_answers(answer).await, "state": "ready", "slots": 5,
        });
        let announce = pair.gate.node.addresses().announce;
        let body = Bytes::from(announcement.to_string());
        let path = "/announce/courier/e1";
        let announced = client.send(Method::PUT, announce, path, &[], body, LONG);
        assert_eq!(announced.await.unwrap().status, 204);
        for at in [pair.entry.caller(), pair.gate.caller()] {
            let sent = client.send(Method::GET, at, "/stock", &[], Bytes::new(), LONG);
            let sent = sent.await.map(|r| (r.status, reason(&r).to_owned()));
            assert!(sent.is_err(), "passed on as whole: {sent:?}");
            let booked = support::book(&client, at, &support::key(), "a")
                .await
                .unwrap();
            assert_eq!((booked.status.as_u16(), outcome(&booked)), (504, "unknown"));
        }
    }
}

/// Guards against internal work that takes slots and places from callers' requests.
#[tokio::test]
async fn serves_callers_before_internal_work() {
    let pair = cluster::pair(small_queue(), slow(20)).await;
    let client = Client::default();
    let send = |path: &'static str, n: usize| {
        let (client, at) = (client.clone(), pair.entry.caller());
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

/// Guards against a retry that is sent for a request which ran, or not sent for one that was shed.
#[tokio::test]
async fn retries_an_idempotent_request_elsewhere() {
    let pair = cluster::pair(cluster::config(), Behaviour::default()).await;
    let shedding = Behaviour {
        shed_percent: 100,
        ..Behaviour::default()
    };
    let second = cluster::standin(&pair.entry, "e2", shedding).await;
    pair.entry.ready(2).await;
    let client = Client::default();

    for i in 0..10 {
        let reply = get(&client, pair.entry.caller(), "/stock", &i.to_string()).await;
        assert_eq!(reply.status, 200);
    }

    assert_eq!(pair.standin.record().len(), 10);
    assert!(second.record().is_empty());
}

/// Guards against messages that the HTTP library refuses itself and that no counter shows.
#[tokio::test]
async fn counts_messages_that_cannot_be_read() {
    let pair = cluster::pair(cluster::config(), Behaviour::default()).await;
    // Just as much as is read, so that no unread bytes reset the connection before the response.
    let mut large = "GET /stock HTTP/1.1\r\nx: ".to_owned();
    large.push_str(&"x".repeat(64 * 1024 - large.len()));
    let messages = [
        ("GET /stock HTTP/1.1\r\nbad header\r\n\r\n", " 400 "),
        (large.as_str(), " 431 "),
    ];

    for (message, status) in messages {
        let mut stream = TcpStream::connect(pair.entry.caller()).await.unwrap();
        stream.write_all(message.as_bytes()).await.unwrap();
        let mut first = [0; 16];
        stream.read_exact(&mut first).await.unwrap();
        let first = String::from_utf8_lossy(&first);
        assert!(first.contains(status), "{first}");
    }

    let counters = pair.entry.node.counters();
    let counted = || async { counters.dump()["malformed"] == 2 };
    process::wait_until("both are counted", LONG, counted)
        .await
        .unwrap();
    assert!(pair.standin.record().is_empty());
}
