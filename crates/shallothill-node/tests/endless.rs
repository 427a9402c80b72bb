//! Backend servers that send endless responses.

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
use support::{MAX_WAIT, cluster, outcome};

/// `DEADLINE` is the deadline of all routes; callers get a response by then.
const DEADLINE: Duration = Duration::from_secs(1);

/// `MAX_SENT_BYTES` is far above the socket buffers of both ends and the largest head that a gate
/// accepts.
const MAX_SENT_BYTES: usize = 32 * 1024 * 1024;

/// A backend server that writes a first part and then repeats a second one endlessly.
struct EndlessServer {
    address: SocketAddr,
    open: Arc<AtomicUsize>,
    written: Arc<AtomicUsize>,
}

impl EndlessServer {
    /// Writes from threads of its own, so that the node's tasks cannot delay the writes.
    fn start(first: &'static [u8], rest: &'static [u8]) -> Self {
        let listener = TcpListener::bind(cluster::any_local_port()).unwrap();
        let address = listener.local_addr().unwrap();
        let open = Arc::new(AtomicUsize::new(0));
        let written = Arc::new(AtomicUsize::new(0));
        let counted = (Arc::clone(&open), Arc::clone(&written));
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let (open, written) = counted.clone();
                open.fetch_add(1, Ordering::Relaxed);
                thread::spawn(move || {
                    write_endlessly(stream, first, rest, &written);
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

fn write_endlessly(mut stream: TcpStream, first: &[u8], rest: &[u8], written: &AtomicUsize) {
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

async fn start_nodes() -> Nodes {
    let two_nodes = cluster::start_two_nodes(short_deadlines(), Behaviour::default()).await;
    // The announcements that the stand-in repeats would replace those of the test.
    drop(two_nodes.standin);
    Nodes {
        entry: two_nodes.entry,
        gate: two_nodes.gate,
        _keepers: two_nodes.keepers,
    }
}

async fn announce(client: &Client, nodes: &Nodes, address: SocketAddr) {
    let body = json!({"address": address, "state": "ready", "slots": 5}).to_string();
    let at = nodes.gate.node.addresses().announce;
    let path = "/announce/courier/e1";
    let announced = client.send(Method::PUT, at, path, &[], Bytes::from(body), MAX_WAIT);
    assert_eq!(announced.await.unwrap().status, 204);
}

async fn wait_all_closed(server: &EndlessServer) {
    let closed = || async { server.open.load(Ordering::Relaxed) == 0 };
    process::wait_until("the gate closes its connections", MAX_WAIT, closed)
        .await
        .unwrap();
}

/// Guards against an endless response head that occupies a slot or is passed on to a caller.
#[tokio::test]
async fn an_endless_head_is_cut_off() {
    let heads: [(&[u8], &[u8]); 4] = [
        (b"", b"no answer in any protocol "),
        (b"", b"\r\n"),
        (b"HTTP/1.1 200 OK\r\nx: ", b"x"),
        (b"HTTP/1.1 200 OK\r\n", b"x: y\r\n"),
    ];
    let nodes = start_nodes().await;
    let client = Client::default();

    for (first, rest) in heads {
        let server = EndlessServer::start(first, rest);
        announce(&client, &nodes, server.address).await;
        for at in [nodes.entry.caller_address(), nodes.gate.caller_address()] {
            let booked = support::send_booking(&client, at, &support::new_key(), "a").await;
            let booked = booked.unwrap();
            assert_eq!(booked.status, 502, "{first:?}");
            assert_eq!(outcome(&booked), "ran-and-failed");
        }
        wait_all_closed(&server).await;
    }
}

/// Guards against endless interim responses that keep a node busy until the deadline and beyond.
#[tokio::test]
async fn endless_interim_responses_are_cut_off() {
    let nodes = start_nodes().await;
    let client = Client::default();
    let server = EndlessServer::start(b"", b"HTTP/1.1 100 Continue\r\n\r\n");
    announce(&client, &nodes, server.address).await;

    let booked = support::send_booking(
        &client,
        nodes.entry.caller_address(),
        &support::new_key(),
        "a",
    )
    .await;

    let booked = booked.unwrap();
    wait_all_closed(&server).await;
    let written = server.written.load(Ordering::Relaxed);
    assert!(written < MAX_SENT_BYTES, "the gate took {written} bytes");
    assert_eq!(booked.status, 502);
    assert_eq!(support::reason(&booked), "bad-answer");
}

/// Guards against an endless body that is passed on after the deadline, or as a complete one.
#[tokio::test]
async fn an_endless_body_is_cut_off_at_the_deadline() {
    let bodies: [(&[u8], &[u8]); 2] = [
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            b"4\r\nbyte\r\n",
        ),
        (b"HTTP/1.1 200 OK\r\n\r\n", b"byte"),
    ];
    let nodes = start_nodes().await;
    let client = Client::default();

    for (first, rest) in bodies {
        let server = EndlessServer::start(first, rest);
        announce(&client, &nodes, server.address).await;
        for at in [nodes.entry.caller_address(), nodes.gate.caller_address()] {
            let sent = client.send(Method::GET, at, "/stock", &[], Bytes::new(), MAX_WAIT);
            let failed = sent.await.unwrap_err().to_string();
            assert!(!failed.contains("none within"), "{failed}");
        }
        wait_all_closed(&server).await;
    }
}

/// Guards against endless bytes after a complete response that are passed on to a later caller.
#[tokio::test]
async fn endless_bytes_after_a_response_reach_no_caller() {
    let nodes = start_nodes().await;
    let client = Client::default();
    let server = EndlessServer::start(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", b"!");
    announce(&client, &nodes, server.address).await;

    let mut answered = 0;
    for _ in 0..5 {
        let sent = client.send(
            Method::GET,
            nodes.entry.caller_address(),
            "/stock",
            &[],
            Bytes::new(),
            MAX_WAIT,
        );
        let reply = sent.await.unwrap();
        assert!(reply.status != 200 || reply.body == "ok", "{reply:?}");
        answered += usize::from(reply.status == 200);
    }
    assert!(answered > 0, "no whole answer was passed on");
    wait_all_closed(&server).await;
}
