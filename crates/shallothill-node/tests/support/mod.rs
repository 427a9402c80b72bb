//! Nodes and fake keepers that run in the process of the test.

#![allow(dead_code, reason = "each test file uses a part of the fixtures")]

pub mod cluster;
pub mod keepers;
pub mod nested;
pub mod real_keepers;

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use shallothill_testing::http::{Client, Reply};
use uuid::Uuid;

/// `MAX_WAIT` bounds each wait in a test; it is far above the time that any step takes.
pub const MAX_WAIT: Duration = Duration::from_secs(20);

pub fn new_key() -> String {
    Uuid::now_v7().to_string()
}

pub async fn get(client: &Client, at: std::net::SocketAddr, path: &str, id: &str) -> Reply {
    let headers = [("x-request-id", id)];
    client
        .send(Method::GET, at, path, &headers, Bytes::new(), MAX_WAIT)
        .await
        .unwrap()
}

pub async fn send_booking(
    client: &Client,
    at: std::net::SocketAddr,
    key: &str,
    body: &'static str,
) -> shallothill_testing::Result<Reply> {
    let headers = [("idempotency-key", key)];
    let body = Bytes::from_static(body.as_bytes());
    client
        .send(Method::POST, at, "/book", &headers, body, MAX_WAIT)
        .await
}

pub fn outcome(reply: &Reply) -> &str {
    reply.header("x-shallothill-outcome").unwrap_or("none")
}

pub fn reason(reply: &Reply) -> &str {
    reply.header("x-shallothill-reason").unwrap_or("none")
}
