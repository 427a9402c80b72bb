//! Bodies at an admin address.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use shallothill_runtime::admin;
use shallothill_runtime::admin::{AdminHandler, AdminLimits, AdminRequest};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// The largest configuration that operators send.
const DOCUMENT_BYTES: usize = 7 * 1024 * 1024;

struct Length;

impl AdminHandler for Length {
    async fn dump(&self) -> serde_json::Value {
        serde_json::Value::Null
    }

    async fn handle(&self, req: AdminRequest) -> Option<Response<Full<Bytes>>> {
        let text = format!("length {}", req.body.len());
        Some(Response::new(Full::new(Bytes::from(text))))
    }
}

async fn start(limits: AdminLimits) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    tokio::spawn(admin::serve_within(
        listener,
        Arc::new(Length),
        limits,
        stop,
    ));
    at
}

async fn post(at: SocketAddr, bytes: usize) -> String {
    let mut stream = TcpStream::connect(at).await.unwrap();
    let head = format!(
        "POST /x HTTP/1.1\r\nhost: h\r\nconnection: close\r\ncontent-length: {bytes}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    // A refusal ends the write early.
    let _ = stream.write_all(&vec![b'x'; bytes]).await;
    let mut reply = Vec::new();
    let _ = stream.read_to_end(&mut reply).await;
    String::from_utf8(reply).unwrap()
}

/// Guards against limits that refuse several of the largest configurations at the same time.
#[tokio::test]
async fn several_large_bodies_are_accepted_at_once() {
    let at = start(AdminLimits::default()).await;
    let mut posts = JoinSet::new();
    for _ in 0..5 {
        posts.spawn(post(at, DOCUMENT_BYTES));
    }

    let expected = format!("length {DOCUMENT_BYTES}");
    for reply in posts.join_all().await {
        assert!(reply.ends_with(&expected), "{reply}");
    }
}

/// Guards against a body above the limit of its address that is read.
#[tokio::test]
async fn a_body_above_the_limit_is_refused() {
    let at = start(AdminLimits::SMALL).await;

    let fits = post(at, AdminLimits::SMALL.body_bytes).await;
    assert!(fits.starts_with("HTTP/1.1 200"), "{fits}");
    let mut stream = TcpStream::connect(at).await.unwrap();
    let bytes = AdminLimits::SMALL.body_bytes + 1;
    let head = format!("POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: {bytes}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut status = [0; 12];
    stream.read_exact(&mut status).await.unwrap();
    assert_eq!(&status, b"HTTP/1.1 413");
}
