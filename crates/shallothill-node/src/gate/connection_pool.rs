//! The pool of HTTP/1.1 connections to a backend server.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HeaderMap;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time;
use tokio::time::Instant;

use crate::body::Body;
use crate::gate::head_limit::{HeadLimit, HeadLimitedStream};
use crate::header_filter;
use crate::sockets;

/// `MAX_IDLE_FRESH` is the longest idle time of a connection that carries a non-idempotent request.
/// A backend server may close a connection that was idle for longer while the request is being
/// written, and such a request cannot be sent again.
const MAX_IDLE_FRESH: Duration = Duration::from_secs(1);

/// `KEEP_ALIVE_MARGIN` is subtracted from the timeout in a `Keep-Alive` header, to cover the
/// transit time of a request and the rounding to whole seconds.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);

/// `MAX_IDLE` is the idle time after which a connection is closed.
const MAX_IDLE: Duration = Duration::from_secs(30);

/// `MAX_BUFFER_BYTES` bounds the read and write buffers of a connection.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// `Connection` is an open connection; dropping it closes the socket immediately, which cancels the
/// request in flight.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Body>,
    connection_task: AbortHandle,
    head_limit: HeadLimit,
    idle_since: Instant,
    keep_alive: Option<Duration>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.connection_task.abort();
    }
}

/// `SendError` is why a request was not answered.
#[derive(Debug)]
pub enum SendError {
    /// Nothing was written; contains the request, which can be sent on another connection.
    NotWritten(Box<Request<Body>>),
    /// The connection failed after the request may have been received.
    Failed(hyper::Error),
}

impl Connection {
    /// `update_keep_alive` stores the timeout of a `Keep-Alive` response header, if there is one.
    pub fn update_keep_alive(&mut self, map: &HeaderMap) {
        let text = header_filter::single_value(map, "keep-alive").unwrap_or_default();
        let stated = text
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="));
        if let Some(seconds) = stated.and_then(|s| s.parse().ok()) {
            self.keep_alive = Some(Duration::from_secs(seconds));
        }
    }

    // Returns the idle time for which the backend server is expected to keep the connection open.
    fn max_idle_time(&self, fresh: bool) -> Duration {
        match self.keep_alive {
            Some(stated) => stated.saturating_sub(KEEP_ALIVE_MARGIN).min(MAX_IDLE),
            None if fresh => MAX_IDLE_FRESH,
            None => MAX_IDLE,
        }
    }

    /// `send` writes a request and waits for the response headers.
    pub async fn send(&mut self, req: Request<Body>) -> Result<Response<Incoming>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::NotWritten(Box::new(req)));
        }
        self.head_limit.start();
        match self.sender.try_send_request(req).await {
            Ok(response) => {
                self.head_limit.lift();
                Ok(response)
            }
            Err(mut e) => match e.take_message() {
                Some(req) => Err(SendError::NotWritten(Box::new(req))),
                None => Err(SendError::Failed(e.into_error())),
            },
        }
    }
}

/// `ConnectionPool` keeps idle connections to a backend server for reuse.
#[derive(Debug)]
pub struct ConnectionPool {
    address: SocketAddr,
    connect_timeout: Duration,
    max_idle: usize,
    idle: Mutex<Vec<Connection>>,
    closed: Arc<Notify>,
}

impl ConnectionPool {
    /// `new` builds an empty pool that keeps at most `max_idle` connections.
    pub fn new(address: SocketAddr, connect_timeout: Duration, max_idle: usize) -> Self {
        Self {
            address,
            connect_timeout,
            max_idle,
            idle: Mutex::new(Vec::new()),
            closed: Arc::new(Notify::new()),
        }
    }

    /// `address` returns the address that the backend server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// `take_idle` returns an idle connection that is ready for a request, if there is one. With
    /// `fresh`, only connections that are safe for a non-idempotent request are returned.
    pub fn take_idle(&self, fresh: bool) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        idle.retain(|c| !c.sender.is_closed() && now - c.idle_since < c.max_idle_time(false));
        let connection = idle.pop_if(|c| now - c.idle_since < c.max_idle_time(fresh))?;
        connection.sender.is_ready().then_some(connection)
    }

    /// `connect` opens a connection.
    ///
    /// Fails with `ConnectionRefused` when nothing listens on the address, and with `TimedOut`
    /// after the connect timeout.
    pub async fn connect(&self) -> io::Result<Connection> {
        let connecting = TcpStream::connect(self.address);
        let stream = time::timeout(self.connect_timeout, connecting)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        sockets::limit_unacknowledged(&stream)?;
        let head_limit = HeadLimit::new();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(HeadLimitedStream::new(
                stream,
                head_limit.clone(),
            )))
            .await
            .map_err(io::Error::other)?;
        let closed = Arc::clone(&self.closed);
        let connection_task = tokio::spawn(async move {
            // Errors are also reported to the request in flight on the connection.
            let _ = connection.await;
            closed.notify_one();
        });
        Ok(Connection {
            sender,
            connection_task: connection_task.abort_handle(),
            head_limit,
            idle_since: Instant::now(),
            keep_alive: None,
        })
    }

    /// `put_idle` returns a connection to the pool after its response was read completely.
    pub fn put_idle(&self, mut connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        connection.idle_since = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < self.max_idle {
            idle.push(connection);
        }
    }

    /// `clear` closes all idle connections, such as after a crash of the backend server.
    pub fn clear(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.clear();
    }

    /// `closed` returns a signal that fires when the backend server closes a connection.
    pub fn closed(&self) -> Arc<Notify> {
        Arc::clone(&self.closed)
    }

    /// `is_listening` connects to the backend server and returns false only when the connection is
    /// refused. A timeout counts as listening, since a full accept backlog also causes one.
    pub async fn is_listening(&self) -> bool {
        let connecting = TcpStream::connect(self.address);
        match time::timeout(self.connect_timeout, connecting).await {
            Ok(Err(e)) => e.kind() != io::ErrorKind::ConnectionRefused,
            Ok(Ok(_)) | Err(_) => true,
        }
    }
}
