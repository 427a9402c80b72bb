//! A small HTTP/1.1 client that keeps connections and bounds every request by a deadline.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::HeaderMap;
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::time;

use crate::errors;

/// `Reply` is a complete answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl Reply {
    /// `header` returns the value of `name` as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|v| v.to_str().ok())
    }

    /// `json` reads the body as JSON.
    ///
    /// Fails with `Http` when the body has another form.
    pub fn json<T: serde::de::DeserializeOwned>(&self, address: SocketAddr) -> errors::Result<T> {
        serde_json::from_slice(&self.body).map_err(|e| failed(address, e))
    }
}

/// `Client` sends requests; it never sends one twice.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let inner = legacy::Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { inner }
    }
}

impl Client {
    /// `send` sends a request and reads the whole answer within `deadline`.
    ///
    /// Fails with `Http` when there is no complete answer in time.
    pub async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        deadline: Duration,
    ) -> errors::Result<Reply> {
        let uri = format!("http://{address}{path}");
        let mut req = Request::builder().method(method).uri(uri);
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::new(body)).map_err(|e| failed(address, e))?;
        let exchange = async {
            let answer = self.inner.request(req).await;
            let (parts, body) = answer.map_err(|e| failed(address, chain(&e)))?.into_parts();
            let body = body
                .collect()
                .await
                .map_err(|e| failed(address, chain(&e)))?;
            Ok(Reply {
                status: parts.status,
                headers: parts.headers,
                body: body.to_bytes(),
            })
        };
        match time::timeout(deadline, exchange).await {
            Ok(result) => result,
            Err(_) => Err(failed(address, format!("none within {deadline:?}"))),
        }
    }

    /// `get` reads `path` with a deadline of 5 s.
    ///
    /// Fails with `Http` when there is no complete answer.
    pub async fn get(&self, address: SocketAddr, path: &str) -> errors::Result<Reply> {
        let deadline = Duration::from_secs(5);
        self.send(Method::GET, address, path, &[], Bytes::new(), deadline)
            .await
    }
}

fn failed(address: SocketAddr, message: impl ToString) -> errors::Error {
    let message = message.to_string();
    errors::Error::Http { address, message }
}

/// `chain` joins an error's causes, because hyper names the real one last.
fn chain(e: &dyn std::error::Error) -> String {
    let causes = std::iter::successors(Some(e), |e| e.source());
    causes
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join(": ")
}
