//! The connection to one peer.

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

/// `PING_EVERY` is the time between keep-alive pings while requests are in flight.
const PING_EVERY: Duration = Duration::from_secs(1);

/// `PING_TIMEOUT` is the time after which a ping without an answer closes the connection, so that
/// a link that is cut in one direction is noticed.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// `LinkError` is how a request to a peer failed.
#[derive(Debug)]
pub enum LinkError {
    /// The request did not leave this node.
    NotSent(String),
    /// The peer may have received the request.
    Failed(hyper::Error),
}

#[derive(Debug)]
struct State {
    sender: Option<http2::SendRequest<Body>>,
    used: Instant,
    /// When a connection could not be opened last.
    failed: Option<Instant>,
}

/// `PeerLink` is the shared connection to one peer, made again when it breaks.
#[derive(Debug)]
pub struct PeerLink {
    address: SocketAddr,
    connect_timeout: Duration,
    state: Mutex<State>,
    connecting: Semaphore,
    responses: AtomicU64,
}

impl PeerLink {
    /// `new` builds a link that connects at its first request.
    pub fn new(address: SocketAddr, connect_timeout: Duration) -> Self {
        Self {
            address,
            connect_timeout,
            state: Mutex::new(State {
                sender: None,
                used: Instant::now(),
                failed: None,
            }),
            connecting: Semaphore::new(1),
            responses: AtomicU64::new(0),
        }
    }

    /// `address` returns the address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// `last_used` returns when the link was last used.
    pub fn last_used(&self) -> Instant {
        let state = self.lock();
        state.used
    }

    /// `connected` tells whether a connection is open.
    pub fn connected(&self) -> bool {
        self.current().is_some()
    }

    /// `responses` returns the number of responses that the peer has sent.
    pub fn responses(&self) -> u64 {
        self.responses.load(Ordering::Relaxed)
    }

    /// `send` sends a request and waits for the headers of the response.
    pub async fn send(&self, req: Request<Body>) -> Result<Response<Incoming>, LinkError> {
        let mut sender = match self.current() {
            Some(sender) => sender,
            None => self.connect().await.map_err(not_sent)?,
        };
        if let Err(e) = sender.ready().await {
            self.forget();
            return Err(not_sent(e));
        }
        let response = sender.try_send_request(req).await.map_err(|mut e| {
            let given_back = e.take_message().is_some();
            let e = e.into_error();
            if given_back {
                not_sent(e)
            } else {
                LinkError::Failed(e)
            }
        })?;
        self.responses.fetch_add(1, Ordering::Relaxed);
        Ok(response)
    }

    fn current(&self) -> Option<http2::SendRequest<Body>> {
        let mut state = self.lock();
        state.used = Instant::now();
        state.sender.clone().filter(|s| !s.is_closed())
    }

    fn forget(&self) {
        let mut state = self.lock();
        state.sender = None;
    }

    async fn connect(&self) -> io::Result<http2::SendRequest<Body>> {
        let asked = Instant::now();
        // Requests that wait for the same connection share it, and share its failure.
        let _permit = self
            .connecting
            .acquire()
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::NotConnected))?;
        if let Some(sender) = self.current() {
            return Ok(sender);
        }
        if self.lock().failed.is_some_and(|at| at >= asked) {
            return Err(io::Error::from(io::ErrorKind::NotConnected));
        }
        let opened = self.open().await;
        let mut state = self.lock();
        match &opened {
            Ok(sender) => state.sender = Some(sender.clone()),
            Err(_) => state.failed = Some(Instant::now()),
        }
        opened
    }

    async fn open(&self) -> io::Result<http2::SendRequest<Body>> {
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
            .keep_alive_interval(PING_EVERY)
            .keep_alive_timeout(PING_TIMEOUT)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        // Errors reach the requests that the connection carries.
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn not_sent(e: impl fmt::Display) -> LinkError {
    LinkError::NotSent(e.to_string())
}
