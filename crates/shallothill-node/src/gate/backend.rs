//! HTTP/1.1 connections to one backend server.

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
use crate::gate::head_limit::{HeadLimit, Limited};
use crate::header_filter;

/// `FRESH_FOR` is the idle time up to which a connection is used for a non-idempotent request. A
/// backend server may close an older one just while the request is written, and the request
/// could not be sent again.
const FRESH_FOR: Duration = Duration::from_secs(1);

/// `KEEP_ALIVE_MARGIN` is the part of a stated idle time that is not used, for the time that a
/// request needs to arrive and for the rounding to whole seconds.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);

/// `IDLE_MAX` is the idle time after which a connection is closed.
const IDLE_MAX: Duration = Duration::from_secs(30);

/// `BUFFER_BYTES` bounds the read and write buffers of a connection.
const BUFFER_BYTES: usize = 64 * 1024;

/// `Connection` is one connection; dropping it closes the socket at once, which cancels a request
/// that it carries.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Body>,
    driver: AbortHandle,
    head_limit: HeadLimit,
    idle_since: Instant,
    keep_alive: Option<Duration>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// `SendError` is how sending a request failed.
#[derive(Debug)]
pub enum SendError {
    /// Nothing was written; the request is given back.
    NotWritten(Box<Request<Body>>),
    /// The request may have been received.
    Failed(hyper::Error),
}

impl Connection {
    /// `note_keep_alive` takes over the idle time that the backend server states, in whole seconds.
    pub fn note_keep_alive(&mut self, map: &HeaderMap) {
        let text = header_filter::single_value(map, "keep-alive").unwrap_or_default();
        let stated = text
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="));
        if let Some(seconds) = stated.and_then(|s| s.parse().ok()) {
            self.keep_alive = Some(Duration::from_secs(seconds));
        }
    }

    // The idle time up to which the backend server does not close the connection by itself.
    fn usable_for(&self, fresh: bool) -> Duration {
        match self.keep_alive {
            Some(stated) => stated.saturating_sub(KEEP_ALIVE_MARGIN).min(IDLE_MAX),
            None if fresh => FRESH_FOR,
            None => IDLE_MAX,
        }
    }

    /// `send` writes a request and waits for the headers of the answer.
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

/// `Pool` keeps idle connections to one backend server.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    connect_timeout: Duration,
    max_idle: usize,
    idle: Mutex<Vec<Connection>>,
    closed: Arc<Notify>,
}

impl Pool {
    /// `new` builds an empty pool that keeps up to `max_idle` idle connections.
    pub fn new(address: SocketAddr, connect_timeout: Duration, max_idle: usize) -> Self {
        Self {
            address,
            connect_timeout,
            max_idle,
            idle: Mutex::new(Vec::new()),
            closed: Arc::new(Notify::new()),
        }
    }

    /// `address` returns the address of the backend server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// `idle` returns an idle connection that owes no answer. A `fresh` one was in use lately.
    pub fn idle(&self, fresh: bool) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        idle.retain(|c| !c.sender.is_closed() && now - c.idle_since < c.usable_for(false));
        let connection = idle.pop_if(|c| now - c.idle_since < c.usable_for(fresh))?;
        connection.sender.is_ready().then_some(connection)
    }

    /// `connect` opens a connection.
    ///
    /// Fails with `ConnectionRefused` when nothing listens, and with `TimedOut`.
    pub async fn connect(&self) -> io::Result<Connection> {
        let connecting = TcpStream::connect(self.address);
        let stream = time::timeout(self.connect_timeout, connecting)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let head_limit = HeadLimit::new();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(TokioIo::new(Limited::new(stream, head_limit.clone())))
            .await
            .map_err(io::Error::other)?;
        let closed = Arc::clone(&self.closed);
        let driver = tokio::spawn(async move {
            // Errors reach the request that the connection carries.
            let _ = connection.await;
            closed.notify_one();
        });
        Ok(Connection {
            sender,
            driver: driver.abort_handle(),
            head_limit,
            idle_since: Instant::now(),
            keep_alive: None,
        })
    }

    /// `put_back` keeps a connection whose answer was read to its end.
    pub fn put_back(&self, mut connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        connection.idle_since = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < self.max_idle {
            idle.push(connection);
        }
    }

    /// `clear` closes all idle connections.
    pub fn clear(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.clear();
    }

    /// `closed` is woken when the backend server closes a connection.
    pub fn closed(&self) -> Arc<Notify> {
        Arc::clone(&self.closed)
    }

    /// `listens` tells whether the backend server's socket accepts connections. An answer that
    /// does not come in time counts as listening, since a full backlog looks the same.
    pub async fn listens(&self) -> bool {
        let connecting = TcpStream::connect(self.address);
        match time::timeout(self.connect_timeout, connecting).await {
            Ok(Err(e)) => e.kind() != io::ErrorKind::ConnectionRefused,
            Ok(Ok(_)) | Err(_) => true,
        }
    }
}
