//! The admin HTTP endpoint: health, version, state dump and requests that each process defines.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::service;
use hyper::{Method, Request, Response, StatusCode, header};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tracing::debug;

/// `BODY_MAX_BYTES` bounds the body of an admin request, which may hold a configuration text.
pub const BODY_MAX_BYTES: usize = 32 * 1024 * 1024;

/// `CONNECTIONS_MAX` bounds the open admin connections; further ones are closed at once.
pub const CONNECTIONS_MAX: usize = 64;

/// `HEADER_TIMEOUT` bounds the time until the headers of a request are complete.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// `AdminRequest` is a request that the endpoint passes to the process's [`AdminHandler`].
#[derive(Clone, Debug)]
pub struct AdminRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path without the query, such as `/config/submit`.
    pub path: String,
    /// The raw query without `?`; empty if there is none.
    pub query: String,
    /// The headers as received.
    pub headers: HeaderMap,
    /// The complete body, at most [`BODY_MAX_BYTES`].
    pub body: Bytes,
}

impl AdminRequest {
    /// `query_value` returns the first value of `name` in the query, without percent-decoding.
    pub fn query_value(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        pairs.into_iter().find(|(n, _)| *n == name).map(|(_, v)| v)
    }
}

/// `AdminHandler` serves the requests that are specific to a process.
pub trait AdminHandler: Send + Sync + 'static {
    /// `dump` returns the state of the process's components, for `GET /dump`.
    fn dump(&self) -> impl Future<Output = serde_json::Value> + Send;

    /// `handle` answers a request other than `/dump`, `/health` and `/version`, or returns `None`
    /// for an unknown path.
    fn handle(
        &self,
        req: AdminRequest,
    ) -> impl Future<Output = Option<Response<Full<Bytes>>>> + Send;
}

/// `serve` answers admin requests on `listener` until `stop` is cancelled; open connections then
/// finish the request in progress.
pub async fn serve<H: AdminHandler>(
    listener: TcpListener,
    handler: Arc<H>,
    stop: CancellationToken,
) {
    let permits = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else { continue };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            continue;
        };
        let handler = Arc::clone(&handler);
        let stop = stop.clone();
        tokio::spawn(async move {
            let service = service::service_fn(move |req| {
                let handler = Arc::clone(&handler);
                async move { Ok::<_, Infallible>(handle_request(handler.as_ref(), req).await) }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            tokio::pin!(connection);
            let result = tokio::select! {
                result = connection.as_mut() => result,
                () = stop.cancelled() => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            };
            if let Err(e) = result {
                debug!("admin: a connection failed: {e}");
            }
            drop(permit);
        });
    }
}

async fn handle_request<H: AdminHandler>(
    handler: &H,
    req: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (parts, body) = req.into_parts();
    let Ok(body) = Limited::new(body, BODY_MAX_BYTES).collect().await else {
        return text_response(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is too large or incomplete\n",
        );
    };
    match (&parts.method, parts.uri.path()) {
        (&Method::GET, "/health") => text_response(StatusCode::OK, "ok\n"),
        (&Method::GET, "/version") => {
            text_response(StatusCode::OK, concat!(env!("CARGO_PKG_VERSION"), "\n"))
        }
        (&Method::GET, "/dump") => json_response(&handler.dump().await),
        _ => {
            let req = AdminRequest {
                method: parts.method.clone(),
                path: parts.uri.path().to_owned(),
                query: parts.uri.query().unwrap_or_default().to_owned(),
                headers: parts.headers,
                body: body.to_bytes(),
            };
            let not_found = || {
                text_response(
                    StatusCode::NOT_FOUND,
                    "no such admin path; see docs/OPERATIONS.md\n",
                )
            };
            handler.handle(req).await.unwrap_or_else(not_found)
        }
    }
}

/// `text_response` builds a response with the plain text `body`.
pub fn text_response(status: StatusCode, body: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(body.as_bytes())));
    *response.status_mut() = status;
    response
}

/// `json_response` builds an indented JSON response with status 200.
pub fn json_response(value: &serde_json::Value) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec_pretty(value).unwrap_or_default();
    response_with_type(body, "application/json")
}

/// `msgpack_response` builds a MessagePack response with status 200, or a plain text response with
/// status 500 if `value` cannot be encoded.
pub fn msgpack_response<T: serde::Serialize>(value: &T) -> Response<Full<Bytes>> {
    match rmp_serde::to_vec_named(value) {
        Ok(body) => response_with_type(body, "application/msgpack"),
        Err(_) => text_response(
            StatusCode::INTERNAL_SERVER_ERROR,
            "the response cannot be encoded\n",
        ),
    }
}

fn response_with_type(body: Vec<u8>, content_type: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    let value = header::HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}
