//! The admin HTTP endpoint: health, version, state dump and requests that each process defines.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::HeaderMap;
use hyper::http::request;
use hyper::service;
use hyper::{Method, Request, Response, StatusCode, header};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time;
use tokio_util::sync::CancellationToken;
use tracing::debug;

use crate::memory::{HeldBytes, Holder, MemoryAccount, MemoryOptions};

/// `BODY_MAX_BYTES` bounds the body of an admin request, which may hold a configuration text.
pub const BODY_MAX_BYTES: usize = 32 * 1024 * 1024;

/// `TOTAL_BODY_BYTES` bounds the bodies of all requests to one address. Two of the
/// largest bodies fit, or eight configurations of 8 MB.
pub const TOTAL_BODY_BYTES: usize = 64 * 1024 * 1024;

/// `HEAD_BYTES` bounds the head of a request and what is read of its body at a time.
const HEAD_BYTES: usize = 64 * 1024;

/// `BODY_TIMEOUT` bounds the time in which the body of a request arrives. An operator's link carries
/// 7 MB in that time at 1 Mbit/s.
const BODY_TIMEOUT: Duration = Duration::from_secs(60);

/// `MEMORY_WAIT` is the time for which a body waits for the memory of others.
const MEMORY_WAIT: Duration = Duration::from_secs(2);

/// `AdminLimits` bounds the bodies of the requests to one address.
#[derive(Clone, Copy, Debug)]
pub struct AdminLimits {
    /// The largest body of one request, in bytes.
    pub body_bytes: usize,
    /// The largest total of all bodies, in bytes.
    pub total_bytes: usize,
}

impl Default for AdminLimits {
    fn default() -> Self {
        Self {
            body_bytes: BODY_MAX_BYTES,
            total_bytes: TOTAL_BODY_BYTES,
        }
    }
}

impl AdminLimits {
    /// `SMALL` suits addresses whose requests have at most some kilobytes, such as heartbeats.
    pub const SMALL: Self = Self {
        body_bytes: 256 * 1024,
        total_bytes: 2 * 1024 * 1024,
    };
}

/// `CONNECTIONS_MAX` bounds the open admin connections; further ones are closed at once.
pub const CONNECTIONS_MAX: usize = 64;

/// `ACCEPT_RETRY_DELAY` is the pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

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

/// `Server` is what the connections of one address share.
struct Server<H> {
    handler: Arc<H>,
    limits: AdminLimits,
    memory: MemoryAccount,
    stop: CancellationToken,
}

/// `serve` answers admin requests on `listener` until `stop` is cancelled; open connections then
/// finish the request in progress.
pub async fn serve<H: AdminHandler>(
    listener: TcpListener,
    handler: Arc<H>,
    stop: CancellationToken,
) {
    serve_within(listener, handler, AdminLimits::default(), stop).await;
}

/// `serve_within` is [`serve`] with other limits.
pub async fn serve_within<H: AdminHandler>(
    listener: TcpListener,
    handler: Arc<H>,
    limits: AdminLimits,
    stop: CancellationToken,
) {
    let permits = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    let address = listener.local_addr().ok();
    let memory = MemoryAccount::new(MemoryOptions::new(limits.total_bytes));
    tokio::spawn(memory.clone().run(stop.clone()));
    let server = Arc::new(Server {
        handler,
        limits,
        memory,
        stop,
    });
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = server.stop.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            // The process may have reached its limit of open files for a moment.
            time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let permit = Arc::clone(&permits).try_acquire_owned();
        if permit.is_err() {
            // The next connection finds the place of the one that ends.
            server.memory.evict_newest(address);
        }
        let Ok(permit) = permit else { continue };
        let server = Arc::clone(&server);
        tokio::spawn(async move {
            server.run_connection(stream, address).await;
            drop(permit);
        });
    }
}

impl<H: AdminHandler> Server<H> {
    async fn run_connection(&self, stream: TcpStream, address: Option<SocketAddr>) {
        let holder = Arc::new(self.memory.connection_holder(address));
        holder.start_waiting();
        let service = service::service_fn(|req| {
            let holder = Arc::clone(&holder);
            async move {
                let response = self.handle_request(&holder, req).await;
                Ok::<_, Infallible>(response)
            }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT)
            .max_buf_size(HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let result = tokio::select! {
            result = connection.as_mut() => result,
            () = holder.ended() => return,
            () = self.stop.cancelled() => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(e) = result {
            debug!("admin: a connection failed: {e}");
        }
    }

    async fn handle_request(
        &self,
        connection: &Holder,
        req: Request<Incoming>,
    ) -> Response<Full<Bytes>> {
        let (parts, body) = req.into_parts();
        connection.stop_waiting();
        let read = time::timeout(BODY_TIMEOUT, self.read_body(body)).await;
        let response = match read {
            Ok(Ok(body)) => answer(self.handler.as_ref(), parts, body).await,
            Ok(Err(refusal)) => refusal,
            Err(_) => {
                let text = "the body did not arrive in time; send it faster\n";
                text_response(StatusCode::REQUEST_TIMEOUT, text)
            }
        };
        // From here the client has to read the response, and may send another request.
        connection.start_waiting();
        response
    }

    async fn read_body(&self, mut body: Incoming) -> Result<Bytes, Response<Full<Bytes>>> {
        let too_large = || {
            let text = "the body is too large or incomplete\n";
            text_response(StatusCode::PAYLOAD_TOO_LARGE, text)
        };
        let short = || {
            let text = "the process holds too many requests; send it again\n";
            text_response(StatusCode::SERVICE_UNAVAILABLE, text)
        };
        let max = self.limits.body_bytes;
        let hint = body.size_hint();
        if hint.lower() > max as u64 {
            return Err(too_large());
        }
        let expected = hint.exact().map_or(max, |n| n as usize);
        let mut held = HeldBytes::new(self.memory.holder());
        while let Some(frame) = held.receive(body.frame()).await.ok_or_else(short)? {
            let frame = frame.map_err(|_| too_large())?;
            let Some(data) = frame.data_ref() else {
                continue;
            };
            if held.len() + data.len() > max {
                return Err(too_large());
            }
            if !held.append(data, expected, MEMORY_WAIT).await {
                return Err(short());
            }
        }
        Ok(held.into_bytes())
    }
}

async fn answer<H: AdminHandler>(
    handler: &H,
    parts: request::Parts,
    body: Bytes,
) -> Response<Full<Bytes>> {
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
                body,
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
