//! Callers that send malformed, oversized or slow requests.

mod support;

use std::time::Duration;

use shallothill_core::config::Limits;
use shallothill_core::version::ConfigVersion;
use shallothill_node::settings::Bounds;
use shallothill_testing::behaviour::Behaviour;
use shallothill_testing::http::Client;
use shallothill_testing::process;
use support::keepers::Keepers;
use support::{MAX_WAIT, cluster, get};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time;

async fn start_node(
    bounds: Bounds,
) -> (
    Keepers,
    cluster::RunningNode,
    shallothill_testing::standin::Standin,
) {
    let keepers = Keepers::start(cluster::REGION, cluster::config()).await;
    let node = cluster::RunningNode::start("n1", &keepers.addresses, bounds).await;
    let standin = cluster::start_standin(&node, "e1", Behaviour::default()).await;
    node.wait_ready(1).await;
    (keepers, node, standin)
}

/// Sends raw bytes and reads until the node closes the connection.
async fn send_raw(at: std::net::SocketAddr, parts: &[&[u8]], pause: Duration) -> String {
    let mut stream = TcpStream::connect(at).await.unwrap();
    for part in parts {
        if stream.write_all(part).await.is_err() {
            break;
        }
        time::sleep(pause).await;
    }
    let mut read = Vec::new();
    let _ = time::timeout(MAX_WAIT, stream.read_to_end(&mut read))
        .await
        .unwrap();
    String::from_utf8_lossy(&read).into_owned()
}

/// Guards against malformed requests that are not answered with status 400, or make the next
/// request fail.
#[tokio::test]
async fn answers_malformed_requests() {
    let (_keepers, node, standin) = start_node(Bounds::default()).await;
    let cases: [(&[u8], &str); 4] = [
        (b"nonsense\r\n\r\n", "HTTP/1.1 400"),
        (b"GET /stock HTTP/1.1\r\nbad header\r\n\r\n", "HTTP/1.1 400"),
        (
            b"POST /stock HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n",
            "HTTP/1.1 400",
        ),
        (
            b"PUT /stock/items HTTP/1.1\r\nhost: a\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
            "HTTP/1.1 400",
        ),
    ];

    for (bytes, status) in cases {
        let answer = send_raw(node.caller_address(), &[bytes], Duration::ZERO).await;
        assert!(answer.starts_with(status), "{answer}");
    }
    let huge = format!(
        "GET /stock HTTP/1.1\r\nx-a: {}\r\n\r\n",
        "a".repeat(200_000)
    );
    let answer = send_raw(node.caller_address(), &[huge.as_bytes()], Duration::ZERO).await;
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 431"),
        "{answer}"
    );

    assert!(standin.record().is_empty());
    let reply = get(&Client::default(), node.caller_address(), "/stock", "next").await;
    assert_eq!(reply.status, 200);
}

/// Guards against slow callers that keep connections open forever.
#[tokio::test]
async fn ends_slow_callers() {
    let bounds = Bounds {
        header_timeout_ms: 200,
        idle_timeout_ms: 400,
        ..Bounds::default()
    };
    let (_keepers, node, standin) = start_node(bounds).await;

    let silent = send_raw(node.caller_address(), &[], Duration::ZERO).await;
    let headers = send_raw(
        node.caller_address(),
        &[b"GET /stock HTTP/1.1\r\n"],
        Duration::ZERO,
    )
    .await;
    let body: &[u8] = b"PUT /stock/items HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
        x-shallothill-deadline-ms: 200\r\ncontent-length: 10\r\n\r\nab";
    let body = send_raw(node.caller_address(), &[body], Duration::ZERO).await;

    assert!(silent.is_empty(), "{silent}");
    assert!(
        headers.is_empty() || headers.starts_with("HTTP/1.1 408"),
        "{headers}"
    );
    assert!(body.starts_with("HTTP/1.1 408"), "{body}");
    assert!(
        body.contains("x-shallothill-outcome: refused-not-run"),
        "{body}"
    );
    assert!(standin.record().is_empty());
    let reply = get(&Client::default(), node.caller_address(), "/stock", "next").await;
    assert_eq!(reply.status, 200);
}

/// Guards against connections above the limit that hang or exhaust the node.
#[tokio::test]
async fn refuses_connections_beyond_the_bound() {
    let bounds = Bounds {
        caller_connections: 2,
        ..Bounds::default()
    };
    let (_keepers, node, _standin) = start_node(bounds).await;
    let _first = TcpStream::connect(node.caller_address()).await.unwrap();
    let second = TcpStream::connect(node.caller_address()).await.unwrap();
    time::sleep(Duration::from_millis(50)).await;

    let third = send_raw(node.caller_address(), &[], Duration::ZERO).await;

    assert!(third.starts_with("HTTP/1.1 503"), "{third}");
    assert!(
        third.contains("x-shallothill-outcome: refused-not-run"),
        "{third}"
    );
    drop(second);
    time::sleep(Duration::from_millis(50)).await;
    let reply = get(&Client::default(), node.caller_address(), "/stock", "next").await;
    assert_eq!(reply.status, 200);
}

/// Reads what is sent within `limit`; `None` if the node closed the connection.
async fn read_within(stream: &mut TcpStream, limit: Duration) -> Option<String> {
    let mut buf = vec![0; 4096];
    match time::timeout(limit, stream.read(&mut buf)).await {
        Err(_) => Some(String::new()),
        Ok(Ok(n)) if n > 0 => Some(String::from_utf8_lossy(&buf[..n]).into_owned()),
        Ok(_) => None,
    }
}

/// Sends one request and returns whether it is answered.
async fn is_answered(stream: &mut TcpStream, head: &str) -> bool {
    if stream.write_all(head.as_bytes()).await.is_err() {
        return false;
    }
    let read = read_within(stream, MAX_WAIT).await;
    read.is_some_and(|text| text.starts_with("HTTP/1.1 200"))
}

const HEAD: &str = "GET /stock/x HTTP/1.1\r\nhost: a\r\nx-shallothill-deadline-ms: 2000\r\n";

/// Starts a node whose configuration sets limits that differ from the bounds of the process.
async fn start_with_limits(
    limits: Limits,
    bounds: Bounds,
) -> (
    Keepers,
    cluster::RunningNode,
    shallothill_testing::standin::Standin,
) {
    let mut cfg = cluster::config();
    cfg.limits = Some(limits);
    let keepers = Keepers::start(cluster::REGION, cfg).await;
    let node = cluster::RunningNode::start("n1", &keepers.addresses, bounds).await;
    let standin = cluster::start_standin(&node, "e1", Behaviour::default()).await;
    node.wait_ready(1).await;
    (keepers, node, standin)
}

fn limits() -> Limits {
    Limits {
        header_bytes: 16 * 1024,
        body_bytes: 1024 * 1024,
        header_timeout: Duration::from_secs(10),
        idle_timeout: Duration::from_secs(60),
    }
}

/// Guards against a kept connection that the node closes before the idle time of the configuration,
/// as callers use it until then, and against one that it keeps after it.
#[tokio::test]
async fn idle_connections_last_as_long_as_the_configuration_says() {
    let limits = Limits {
        header_timeout: Duration::from_millis(200),
        idle_timeout: Duration::from_millis(1500),
        ..limits()
    };
    let bounds = Bounds {
        header_timeout_ms: 200,
        ..Bounds::default()
    };
    let (_keepers, node, _standin) = start_with_limits(limits, bounds).await;
    let mut stream = TcpStream::connect(node.caller_address()).await.unwrap();
    assert!(is_answered(&mut stream, &format!("{HEAD}\r\n")).await);

    let before = read_within(&mut stream, Duration::from_millis(1000)).await;
    let used_again = is_answered(&mut stream, &format!("{HEAD}\r\n")).await;
    let after = read_within(&mut stream, Duration::from_secs(4)).await;

    assert_eq!(before.as_deref(), Some(""));
    assert!(used_again);
    assert_eq!(after, None);
}

/// Guards against headers that may take longer, or be larger, and bodies that may be larger than the
/// configuration says.
#[tokio::test]
async fn callers_are_held_to_the_limits_of_the_configuration() {
    let limits = Limits {
        header_bytes: 500,
        body_bytes: 10,
        header_timeout: Duration::from_millis(300),
        ..limits()
    };
    let (_keepers, node, standin) = start_with_limits(limits, Bounds::default()).await;
    let connect = || async { TcpStream::connect(node.caller_address()).await.unwrap() };
    let mut fits = connect().await;
    let mut slow = connect().await;
    let started = time::Instant::now();

    slow.write_all(HEAD.as_bytes()).await.unwrap();
    let end = read_within(&mut slow, MAX_WAIT).await;
    let took = started.elapsed();
    let padding = "a".repeat(600);
    let large = format!("{HEAD}x-a: {padding}\r\nconnection: close\r\n\r\n");
    let large = send_raw(node.caller_address(), &[large.as_bytes()], Duration::ZERO).await;
    let body = "PUT /stock/items HTTP/1.1\r\nhost: a\r\nx-shallothill-deadline-ms: 2000\r\n\
        connection: close\r\ncontent-length: 11\r\n\r\n01234567890";
    let body = send_raw(node.caller_address(), &[body.as_bytes()], Duration::ZERO).await;

    assert_eq!(end, None);
    assert!(took < Duration::from_secs(3), "{took:?}");
    assert!(large.starts_with("HTTP/1.1 431"), "{large}");
    assert!(body.starts_with("HTTP/1.1 413"), "{body}");
    assert!(standin.record().is_empty());
    assert!(is_answered(&mut fits, &format!("{HEAD}\r\n")).await);
}

/// Guards against an open connection that is held to the limits of the configuration before.
#[tokio::test]
async fn changed_limits_hold_for_open_connections() {
    let old = Limits {
        idle_timeout: Duration::from_secs(3),
        ..limits()
    };
    let new = Limits {
        header_timeout: Duration::from_millis(300),
        idle_timeout: Duration::from_secs(30),
        ..limits()
    };
    let (keepers, node, _standin) = start_with_limits(old, Bounds::default()).await;
    let mut stream = TcpStream::connect(node.caller_address()).await.unwrap();
    assert!(is_answered(&mut stream, &format!("{HEAD}\r\n")).await);
    let mut cfg = cluster::config();
    cfg.limits = Some(new);

    keepers.shared.set_config(2, cfg);
    let in_force = || async { node.node.store().version() == ConfigVersion(2) };
    let in_force = process::wait_until("version 2 is in force", MAX_WAIT, in_force);
    in_force.await.unwrap();
    let idle = read_within(&mut stream, Duration::from_secs(4)).await;
    let used_again = is_answered(&mut stream, &format!("{HEAD}\r\n")).await;
    let _ = stream.write_all(HEAD.as_bytes()).await;
    let slow_head = read_within(&mut stream, Duration::from_secs(3)).await;

    assert_eq!(idle.as_deref(), Some(""));
    assert!(used_again);
    assert_eq!(slow_head, None);
}
