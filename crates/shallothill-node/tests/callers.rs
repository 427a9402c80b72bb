//! Malformed, oversized and slow callers.

mod support;

use std::time::Duration;

use shallothill_node::settings::Bounds;
use shallothill_testing::behaviour::Behaviour;
use shallothill_testing::http::Client;
use support::keepers::Keepers;
use support::{LONG, cluster, get};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time;

async fn node(
    bounds: Bounds,
) -> (
    Keepers,
    cluster::RunningNode,
    shallothill_testing::standin::Standin,
) {
    let keepers = Keepers::start(cluster::REGION, cluster::config()).await;
    let node = cluster::RunningNode::start("n1", &keepers.addresses, bounds).await;
    let standin = cluster::standin(&node, "e1", Behaviour::default()).await;
    node.ready(1).await;
    (keepers, node, standin)
}

/// Sends raw bytes and reads until the node closes the connection.
async fn raw(at: std::net::SocketAddr, parts: &[&[u8]], pause: Duration) -> String {
    let mut stream = TcpStream::connect(at).await.unwrap();
    for part in parts {
        if stream.write_all(part).await.is_err() {
            break;
        }
        time::sleep(pause).await;
    }
    let mut read = Vec::new();
    let _ = time::timeout(LONG, stream.read_to_end(&mut read))
        .await
        .unwrap();
    String::from_utf8_lossy(&read).into_owned()
}

/// Guards against malformed requests that get another status than 400, or harm the next request.
#[tokio::test]
async fn answers_malformed_requests() {
    let (_keepers, node, standin) = node(Bounds::default()).await;
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
        let answer = raw(node.caller(), &[bytes], Duration::ZERO).await;
        assert!(answer.starts_with(status), "{answer}");
    }
    let huge = format!(
        "GET /stock HTTP/1.1\r\nx-a: {}\r\n\r\n",
        "a".repeat(200_000)
    );
    let answer = raw(node.caller(), &[huge.as_bytes()], Duration::ZERO).await;
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 431"),
        "{answer}"
    );

    assert!(standin.record().is_empty());
    let reply = get(&Client::default(), node.caller(), "/stock", "next").await;
    assert_eq!(reply.status, 200);
}

/// Guards against slow callers that hold connections for ever.
#[tokio::test]
async fn ends_slow_callers() {
    let bounds = Bounds {
        header_timeout_ms: 200,
        idle_timeout_ms: 400,
        ..Bounds::default()
    };
    let (_keepers, node, standin) = node(bounds).await;

    let silent = raw(node.caller(), &[], Duration::ZERO).await;
    let headers = raw(node.caller(), &[b"GET /stock HTTP/1.1\r\n"], Duration::ZERO).await;
    let body: &[u8] = b"PUT /stock/items HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
        x-shallothill-deadline-ms: 200\r\ncontent-length: 10\r\n\r\nab";
    let body = raw(node.caller(), &[body], Duration::ZERO).await;

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
    let reply = get(&Client::default(), node.caller(), "/stock", "next").await;
    assert_eq!(reply.status, 200);
}

/// Guards against connections beyond the bound that hang, or use up the node.
#[tokio::test]
async fn refuses_connections_beyond_the_bound() {
    let bounds = Bounds {
        caller_connections: 2,
        ..Bounds::default()
    };
    let (_keepers, node, _standin) = node(bounds).await;
    let _first = TcpStream::connect(node.caller()).await.unwrap();
    let second = TcpStream::connect(node.caller()).await.unwrap();
    time::sleep(Duration::from_millis(50)).await;

    let third = raw(node.caller(), &[], Duration::ZERO).await;

    assert!(third.starts_with("HTTP/1.1 503"), "{third}");
    assert!(
        third.contains("x-shallothill-outcome: refused-not-run"),
        "{third}"
    );
    drop(second);
    time::sleep(Duration::from_millis(50)).await;
    let reply = get(&Client::default(), node.caller(), "/stock", "next").await;
    assert_eq!(reply.status, 200);
}
