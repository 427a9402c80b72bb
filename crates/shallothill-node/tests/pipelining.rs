//! Callers that send further requests before the first one is answered.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use shallothill_testing::behaviour::Behaviour;
use shallothill_testing::process;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time;

use support::{MAX_WAIT, cluster, new_key};

/// Far longer than a request takes that does not wait for the slow one.
const SLOW: Duration = Duration::from_secs(4);

async fn nodes_with_slow_path() -> cluster::TwoNodes {
    let behaviour = Behaviour {
        latency_by_path: BTreeMap::from([("/stock/slow".to_owned(), SLOW.as_millis() as u64)]),
        ..Behaviour::default()
    };
    cluster::start_two_nodes(cluster::config(), behaviour).await
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: h\r\n\r\n")
}

fn post(path: &str, key: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nidempotency-key: {key}\r\ncontent-length: 0\r\n\r\n"
    )
}

async fn send(nodes: &cluster::TwoNodes, requests: &[String]) -> TcpStream {
    let at = nodes.entry.caller_address();
    let mut stream = TcpStream::connect(at).await.unwrap();
    stream
        .write_all(requests.concat().as_bytes())
        .await
        .unwrap();
    stream
}

fn ran(nodes: &cluster::TwoNodes, path: &str) -> bool {
    nodes.standin.record().iter().any(|r| r.path == path)
}

async fn read_responses(stream: &mut TcpStream, count: usize) -> String {
    let mut read = Vec::new();
    let mut buf = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&read).into_owned();
        if text.matches("HTTP/1.1 ").count() >= count && text.ends_with('}') {
            return text;
        }
        match time::timeout(MAX_WAIT, stream.read(&mut buf))
            .await
            .unwrap()
        {
            Ok(n @ 1..) => read.extend_from_slice(&buf[..n]),
            _ => return text,
        }
    }
}

/// Guards against requests that miss their deadlines because they are started only when the one in
/// front of them is answered, and against responses out of order.
#[tokio::test]
async fn requests_behind_a_slow_one_run_beside_it() {
    let nodes = nodes_with_slow_path().await;

    let requests = ["/stock/slow", "/stock/b", "/stock/c"].map(get);
    let mut stream = send(&nodes, &requests).await;
    let both = || async { ran(&nodes, "/stock/b") && ran(&nodes, "/stock/c") };
    process::wait_until("both run", MAX_WAIT, both)
        .await
        .unwrap();
    let early = time::timeout(Duration::ZERO, stream.read_u8()).await;
    let responses = read_responses(&mut stream, 3).await;

    assert!(early.is_err(), "a response overtook the first one");
    let at = |path: &str| responses.find(&format!("\"{path}\"")).unwrap_or(usize::MAX);
    assert!(at("/stock/slow") < at("/stock/b"), "{responses}");
    assert!(at("/stock/b") < at("/stock/c"), "{responses}");
    assert!(at("/stock/c") < usize::MAX, "{responses}");
    let runs = nodes.standin.record();
    assert_eq!(runs.iter().filter(|r| r.path == "/stock/b").count(), 1);
}

/// Guards against a request that may run only once and is started before the one in front of it is
/// answered: the caller sends it again if the connection closes first.
#[tokio::test]
async fn a_booking_waits_for_its_turn() {
    let nodes = nodes_with_slow_path().await;

    let requests = [
        get("/stock/slow"),
        post("/book", &new_key()),
        get("/stock/c"),
    ];
    let mut stream = send(&nodes, &requests).await;
    let last = || async { ran(&nodes, "/stock/c") };
    process::wait_until("the last one runs", MAX_WAIT, last)
        .await
        .unwrap();
    let booked_early = ran(&nodes, "/book");
    let responses = read_responses(&mut stream, 3).await;

    assert!(!booked_early);
    assert_eq!(responses.matches("HTTP/1.1 200").count(), 3, "{responses}");
    let runs = nodes.standin.record();
    assert_eq!(runs.iter().filter(|r| r.path == "/book").count(), 1);
}

/// Guards against malformed bytes between two requests that hide the response to the first one, or
/// run what stands behind them.
#[tokio::test]
async fn nothing_behind_malformed_bytes_runs() {
    let nodes = nodes_with_slow_path().await;

    let requests = [
        get("/stock/a"),
        "no request\r\n\r\n".to_owned(),
        get("/stock/c"),
    ];
    let mut stream = send(&nodes, &requests).await;
    let mut responses = String::new();
    let _ = time::timeout(MAX_WAIT, stream.read_to_string(&mut responses)).await;

    assert!(responses.starts_with("HTTP/1.1 200"), "{responses}");
    assert!(!ran(&nodes, "/stock/c"));
}

/// Guards against requests that run on after their caller has closed the connection.
#[tokio::test]
async fn requests_end_with_their_connection() {
    let nodes = nodes_with_slow_path().await;

    let requests = ["/stock/slow", "/stock/slow/2"].map(get);
    let stream = send(&nodes, &requests).await;
    let both = || async { ran(&nodes, "/stock/slow") && ran(&nodes, "/stock/slow/2") };
    process::wait_until("both run", MAX_WAIT, both)
        .await
        .unwrap();
    drop(stream);

    let endpoints = nodes.gate.node.gate().endpoints();
    let idle = || async { endpoints.values().all(|e| e.reported_load().in_flight == 0) };
    process::wait_until("the slots are free", SLOW / 2, idle)
        .await
        .unwrap();
}

/// Guards against a planned stop that closes the connection after the first response while a backend
/// server works on the request behind it.
#[tokio::test]
async fn a_stop_waits_for_requests_that_run_before_their_turn() {
    let nodes = nodes_with_slow_path().await;
    let requests = ["/stock/slow", "/stock/slow/2"].map(get);
    let mut stream = send(&nodes, &requests).await;
    let both = || async { ran(&nodes, "/stock/slow") && ran(&nodes, "/stock/slow/2") };
    process::wait_until("both run", MAX_WAIT, both)
        .await
        .unwrap();

    let node = Arc::clone(&nodes.entry.node);
    nodes.entry.stop.cancel();
    tokio::spawn(async move { node.run_until_stopped().await });
    let mut responses = String::new();
    let read = stream.read_to_string(&mut responses);
    time::timeout(MAX_WAIT, read).await.unwrap().unwrap();

    assert_eq!(responses.matches("HTTP/1.1 200").count(), 2, "{responses}");
    assert_eq!(responses.matches("connection: close").count(), 1);
}
