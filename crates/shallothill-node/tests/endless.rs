//! Backend servers whose answers never end.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use serde_json::json;
use shallothill_core::config::Config;
use shallothill_testing::behaviour::Behaviour;
use shallothill_testing::http::Client;
use shallothill_testing::process;
use support::keepers::Keepers;
use support::{LONG, cluster, outcome};

/// `DEADLINE` of the routes; callers are served or refused by then.
const DEADLINE: Duration = Duration::from_secs(1);

/// `SENT_MAX` is far above what the buffers of two sockets hold beside the head that a gate accepts.
const SENT_MAX: usize = 32 * 1024 * 1024;

/// A backend server that writes a first part and then another one without end.
struct Endless {
    address: SocketAddr,
    open: Arc<AtomicUsize>,
    written: Arc<AtomicUsize>,
}

impl Endless {
    /// Writes from threads of its own, which do not wait for those that read.
    fn start(first: &'static [u8], rest: &'static [u8]) -> Self {
        let listener = TcpListener::bind(cluster::local()).unwrap();
        let address = listener.local_addr().unwrap();
        let open = Arc::new(AtomicUsize::new(0));
        let written = Arc::new(AtomicUsize::new(0));
        let counted = (Arc::clone(&open), Arc::clone(&written));
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let (open, written) = counted.clone();
                open.fetch_add(1, Ordering::Relaxed);
                thread::spawn(move || {
                    write_without_end(stream, first, rest, &written);
                    open.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        Self {
            address,
            open,
            written,
        }
    }
}

fn write_without_end(mut stream: TcpStream, first: &[u8], rest: &[u8], written: &AtomicUsize) {
    let _ = stream.read(&mut [0; 4096]);
    let rest = rest.repeat(16 * 1024 / rest.len());
    let mut result = stream.write_all(first);
    while result.is_ok() {
        result = stream.write_all(&rest);
        written.fetch_add(rest.len(), Ordering::Relaxed);
    }
}

fn short_deadlines() -> Config {
    let mut cfg = cluster::config();
    for route in cfg.routes.values_mut() {
        route.deadline = DEADLINE;
    }
    cfg
}

/// An entry node and a gate whose only backend server is the one that a test announces.
struct Nodes {
    entry: cluster::RunningNode,
    gate: cluster::RunningNode,
    _keepers: Keepers,
}

async fn nodes() -> Nodes {
    let pair = cluster::pair(short_deadlines(), Behaviour::default()).await;
    // Its repeated announcements would replace those of the test.
    drop(pair.standin);
    Nodes {
        entry: pair.entry,
        gate: pair.gate,
        _keepers: pair.keepers,
    }
}

async fn announce(client: &Client, nodes: &Nodes, address: SocketAddr) {
    let body = json!({"address": address, "state": "ready", "slots": 5}).to_string();
    let at = nodes.gate.node.addresses().announce;
    let path = "/announce/courier/e1";
    let announced = client.send(Method::PUT, at, path, &[], Bytes::from(body), LONG);
    assert_eq!(announced.await.unwrap().status, 204);
}

async fn all_closed(server: &Endless) {
    let closed = || async { server.open.load(Ordering::Relaxed) == 0 };
    process::wait_until("the gate closes its connections", LONG, closed)
        .await
        .unwrap();
}

/// Guards against a head without end that holds a slot, or that a caller gets as an answer.
#[tokio::test]
async fn a_head_without_end_is_cut_off() {
    let heads: [(&[u8], &[u8]); 4] = [
        (b"", b"no answer in any protocol "),
        (b"", b"\r\n"),
        (b"HTTP/1.1 200 OK\r\nx: ", b"x"),
        (b"HTTP/1.1 200 OK\r\n", b"x: y\r\n"),
    ];
    let nodes = nodes().await;
    let client = Client::default();

    for (first, rest) in heads {
        let server = Endless::start(first, rest);
        announce(&client, &nodes, server.address).await;
        for at in [nodes.entry.caller(), nodes.gate.caller()] {
            let booked = support::book(&client, at, &support::key(), "a").await;
            let booked = booked.unwrap();
            assert_eq!(booked.status, 502, "{first:?}");
            assert_eq!(outcome(&booked), "ran-and-failed");
        }
        all_closed(&server).await;
    }
}

/// Guards against interim answers without end that keep a node busy until the deadline and beyond.
#[tokio::test]
async fn interim_answers_without_end_are_cut_off() {
    let nodes = nodes().await;
    let client = Client::default();
    let server = Endless::start(b"", b"HTTP/1.1 100 Continue\r\n\r\n");
    announce(&client, &nodes, server.address).await;

    let booked = support::book(&client, nodes.entry.caller(), &support::key(), "a").await;

    let booked = booked.unwrap();
    all_closed(&server).await;
    let written = server.written.load(Ordering::Relaxed);
    assert!(written < SENT_MAX, "the gate took {written} bytes");
    assert_eq!(booked.status, 502);
    assert_eq!(support::reason(&booked), "bad-answer");
}

/// Guards against a body without end that is passed on beyond the deadline, or as a whole one.
#[tokio::test]
async fn a_body_without_end_is_cut_off_at_the_deadline() {
    let bodies: [(&[u8], &[u8]); 2] = [
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            b"4\r\nbyte\r\n",
        ),
        (b"HTTP/1.1 200 OK\r\n\r\n", b"byte"),
    ];
    let nodes = nodes().await;
    let client = Client::default();

    for (first, rest) in bodies {
        let server = Endless::start(first, rest);
        announce(&client, &nodes, server.address).await;
        for at in [nodes.entry.caller(), nodes.gate.caller()] {
            let sent = client.send(Method::GET, at, "/stock", &[], Bytes::new(), LONG);
            let failed = sent.await.unwrap_err().to_string();
            assert!(!failed.contains("none within"), "{failed}");
        }
        all_closed(&server).await;
    }
}

/// Guards against bytes without end behind a whole answer that reach a later caller.
#[tokio::test]
async fn bytes_without_end_behind_an_answer_reach_nobody() {
    let nodes = nodes().await;
    let client = Client::default();
    let server = Endless::start(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", b"!");
    announce(&client, &nodes, server.address).await;

    let mut answered = 0;
    for _ in 0..5 {
        let sent = client.send(
            Method::GET,
            nodes.entry.caller(),
            "/stock",
            &[],
            Bytes::new(),
            LONG,
        );
        let reply = sent.await.unwrap();
        assert!(reply.status != 200 || reply.body == "ok", "{reply:?}");
        answered += usize::from(reply.status == 200);
    }
    assert!(answered > 0, "no whole answer was passed on");
    all_closed(&server).await;
}
