//! The shared HTTP/2 connection to one peer.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::client::conn::http2;
use hyper::{Request, Response};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time;
use tokio::time::Instant;

use crate::body::Body;
use crate::listener;

/// `PING_PERIOD` is the time between keep-alive pings while requests are in flight.
const PING_PERIOD: Duration = Duration::from_secs(1);

/// `PING_TIMEOUT` is the time after which an unanswered ping closes the connection, which detects a
/// link that is cut in only one direction.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// `LinkError` tells whether a request that failed may have reached the peer.
#[derive(Debug)]
pub enum LinkError {
    /// The request did not leave this node; holds the cause.
    NotSent(String),
    /// The peer may have received the request.
    Failed(hyper::Error),
}

#[derive(Debug)]
struct LinkState {
    sender: Option<http2::SendRequest<Body>>,
    last_used: Instant,
    /// When the last attempt to connect failed.
    last_failure: Option<Instant>,
}

/// `PeerLink` is the shared connection to one peer; the next request after a failure reconnects.
#[derive(Debug)]
pub struct PeerLink {
    address: SocketAddr,
    connect_timeout: Duration,
    state: Mutex<LinkState>,
    connecting: Semaphore,
    responses: AtomicU64,
}

impl PeerLink {
    /// `new` builds a link to `address`, which connects at its first request.
    pub fn new(address: SocketAddr, connect_timeout: Duration) -> Self {
        Self {
            address,
            connect_timeout,
            state: Mutex::new(LinkState {
                sender: None,
                last_used: Instant::now(),
                last_failure: None,
            }),
            connecting: Semaphore::new(1),
            responses: AtomicU64::new(0),
        }
    }

    /// `address` returns the address that the link connects to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// `last_used` returns the time of the last request.
    pub fn last_used(&self) -> Instant {
        let state = self.lock();
        state.last_used
    }

    /// `connected` tells whether a connection is open; it counts as a use of the link.
    pub fn connected(&self) -> bool {
        self.open_sender().is_some()
    }

    /// `responses` returns the number of responses received since the link was built.
    pub fn responses(&self) -> u64 {
        self.responses.load(Ordering::Relaxed)
    }

    /// `send` sends a request, after connecting if necessary, and waits for the headers of the
    /// response.
    pub async fn send(&self, req: Request<Body>) -> Result<Response<Incoming>, LinkError> {
        let mut sender = match self.open_sender() {
            Some(sender) => sender,
            None => self.connect().await.map_err(not_sent)?,
        };
        if let Err(e) = sender.ready().await {
            self.drop_sender();
            return Err(not_sent(e));
        }
        let response = sender.try_send_request(req).await.map_err(|mut e| {
            let unsent = e.take_message().is_some();
            let e = e.into_error();
            if unsent {
                not_sent(e)
            } else {
                LinkError::Failed(e)
            }
        })?;
        self.responses.fetch_add(1, Ordering::Relaxed);
        Ok(response)
    }

    fn open_sender(&self) -> Option<http2::SendRequest<Body>> {
        let mut state = self.lock();
        state.last_used = Instant::now();
        state.sender.clone().filter(|s| !s.is_closed())
    }

    fn drop_sender(&self) {
        let mut state = self.lock();
        state.sender = None;
    }

    async fn connect(&self) -> io::Result<http2::SendRequest<Body>> {
        let requested_at = Instant::now();
        // Concurrent requests wait for one connection attempt and share its result, also a failure.
        let _permit = self
            .connecting
            .acquire()
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::NotConnected))?;
        if let Some(sender) = self.open_sender() {
            return Ok(sender);
        }
        if self
            .lock()
            .last_failure
            .is_some_and(|at| at >= requested_at)
        {
            return Err(io::Error::from(io::ErrorKind::NotConnected));
        }
        let result = self.open_connection().await;
        let mut state = self.lock();
        match &result {
            Ok(sender) => state.sender = Some(sender.clone()),
            Err(_) => state.last_failure = Some(Instant::now()),
        }
        result
    }

    async fn open_connection(&self) -> io::Result<http2::SendRequest<Body>> {
        let connecting = TcpStream::connect(self.address);
        let stream = time::timeout(self.connect_timeout, connecting)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let (sender, connection) = http2::Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .initial_stream_window_size(listener::WINDOW_BYTES)
            .initial_connection_window_size(listener::CONNECTION_WINDOW_BYTES)
            .max_send_buf_size(listener::WINDOW_BYTES as usize)
            .keep_alive_interval(PING_PERIOD)
            .keep_alive_timeout(PING_TIMEOUT)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        // An error of the connection is also returned by each of its requests.
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }

    fn lock(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn not_sent(e: impl fmt::Display) -> LinkError {
    LinkError::NotSent(e.to_string())
}
