//! A small HTTP/1.1 client that pools connections and bounds every request by a timeout.

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

/// `Reply` is a response whose body was received completely.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status code.
    pub status: StatusCode,
    /// The response headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl Reply {
    /// `header` returns the value of `name`, or `None` if it is absent or not text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|v| v.to_str().ok())
    }

    /// `json` deserializes the body; `address` appears in the error only.
    ///
    /// Fails with `Http` when the body is not JSON of this type.
    pub fn json<T: serde::de::DeserializeOwned>(&self, address: SocketAddr) -> errors::Result<T> {
        serde_json::from_slice(&self.body).map_err(|e| http_error(address, e))
    }
}

/// `Client` sends each request once; it never retries.
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
    /// `send` sends a request and reads the complete response within `deadline`.
    ///
    /// Fails with `Http` when no complete response arrives in time.
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
        let req = req
            .body(Full::new(body))
            .map_err(|e| http_error(address, e))?;
        let exchange = async {
            let answer = self.inner.request(req).await;
            let (parts, body) = answer
                .map_err(|e| http_error(address, join_causes(&e)))?
                .into_parts();
            let body = body
                .collect()
                .await
                .map_err(|e| http_error(address, join_causes(&e)))?;
            Ok(Reply {
                status: parts.status,
                headers: parts.headers,
                body: body.to_bytes(),
            })
        };
        match time::timeout(deadline, exchange).await {
            Ok(result) => result,
            Err(_) => Err(http_error(address, format!("none within {deadline:?}"))),
        }
    }

    /// `get` sends a GET request without headers, with a timeout of 5 s.
    ///
    /// Fails with `Http` when no complete response arrives in time.
    pub async fn get(&self, address: SocketAddr, path: &str) -> errors::Result<Reply> {
        let deadline = Duration::from_secs(5);
        self.send(Method::GET, address, path, &[], Bytes::new(), deadline)
            .await
    }
}

fn http_error(address: SocketAddr, message: impl ToString) -> errors::Error {
    let message = message.to_string();
    errors::Error::Http { address, message }
}

/// Joins an error and its sources, because hyper reports the root cause only as the last source.
fn join_causes(e: &dyn std::error::Error) -> String {
    let causes = std::iter::successors(Some(e), |e| e.source());
    causes
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join(": ")
}
