//! The shared HTTP/2 connection to one peer.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
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
use crate::peer::{ProcessId, question};
use crate::sockets;

/// `PING_PERIOD` is the time between keep-alive pings while requests are in flight.
const PING_PERIOD: Duration = Duration::from_millis(500);

/// `PING_TIMEOUT` is the time after which an unanswered ping closes the connection, which detects a
/// link that is cut in only one direction. A peer that is only slow loses no work by it, because
/// running attempts are asked for on the next connection.
const PING_TIMEOUT: Duration = Duration::from_millis(400);

/// `LinkError` tells whether a request that failed may have reached the peer.
#[derive(Debug)]
pub enum LinkError {
    /// The request did not leave this node; holds the cause.
    NotSent(String),
    /// The peer may have received the request.
    Failed {
        /// The cause.
        source: hyper::Error,
        /// The process that the request was sent to, if it answered before on the connection.
        sent_to: Option<ProcessId>,
    },
}

/// `LinkConnection` is a connection and the process at its other end.
#[derive(Clone, Debug)]
struct LinkConnection {
    sender: http2::SendRequest<Body>,
    /// Set by the first reply of a process that tells it.
    process: Arc<OnceLock<ProcessId>>,
}

impl LinkConnection {
    fn note_process(&self, response: &Response<Incoming>) {
        if let Some(process) = question::read_process(response.headers()) {
            // The process at the other end of a connection stays the same.
            let _ = self.process.set(process);
        }
    }
}

#[derive(Debug)]
struct LinkState {
    connection: Option<LinkConnection>,
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
                connection: None,
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
        self.open_connection().is_some()
    }

    /// `responses` returns the number of responses received since the link was built.
    pub fn responses(&self) -> u64 {
        self.responses.load(Ordering::Relaxed)
    }

    /// `send` sends a request, after connecting if necessary, and waits for the headers of the
    /// response.
    pub async fn send(&self, req: Request<Body>) -> Result<Response<Incoming>, LinkError> {
        let mut connection = match self.open_connection() {
            Some(connection) => connection,
            None => self.connect().await.map_err(not_sent)?,
        };
        if let Err(e) = connection.sender.ready().await {
            self.drop_connection();
            return Err(not_sent(e));
        }
        let sent = connection.sender.try_send_request(req).await;
        let response = sent.map_err(|mut e| {
            let unsent = e.take_message().is_some();
            let source = e.into_error();
            if unsent {
                return not_sent(source);
            }
            let sent_to = connection.process.get().copied();
            LinkError::Failed { source, sent_to }
        })?;
        connection.note_process(&response);
        self.responses.fetch_add(1, Ordering::Relaxed);
        Ok(response)
    }

    /// `answers` asks the process of the peer for a sign of life, on a new connection if none is
    /// open, and returns whether it answered within the connect timeout.
    pub async fn answers(&self) -> bool {
        let asked = self.send(question::write_process_question());
        matches!(time::timeout(self.connect_timeout, asked).await, Ok(Ok(_)))
    }

    fn open_connection(&self) -> Option<LinkConnection> {
        let mut state = self.lock();
        state.last_used = Instant::now();
        let connection = state.connection.clone();
        connection.filter(|c| !c.sender.is_closed())
    }

    fn drop_connection(&self) {
        let mut state = self.lock();
        state.connection = None;
    }

    async fn connect(&self) -> io::Result<LinkConnection> {
        let requested_at = Instant::now();
        // Concurrent requests wait for one connection attempt and share its result, also a failure.
        let _permit = self
            .connecting
            .acquire()
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::NotConnected))?;
        if let Some(connection) = self.open_connection() {
            return Ok(connection);
        }
        if self
            .lock()
            .last_failure
            .is_some_and(|at| at >= requested_at)
        {
            return Err(io::Error::from(io::ErrorKind::NotConnected));
        }
        // A host whose processes are suspended still accepts connections.
        let connecting = time::timeout(self.connect_timeout, self.connect_once());
        let result = connecting
            .await
            .unwrap_or_else(|_| Err(io::Error::from(io::ErrorKind::TimedOut)));
        let mut state = self.lock();
        match &result {
            Ok(connection) => state.connection = Some(connection.clone()),
            Err(_) => state.last_failure = Some(Instant::now()),
        }
        result
    }

    // Opens a connection and waits until the process at its other end has answered, so that no attempt
    // is sent to one that is suspended.
    async fn connect_once(&self) -> io::Result<LinkConnection> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        sockets::limit_unacknowledged(&stream)?;
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
        let mut connection = LinkConnection {
            sender,
            process: Arc::default(),
        };
        let sent = connection
            .sender
            .send_request(question::write_process_question());
        let response = sent.await.map_err(io::Error::other)?;
        connection.note_process(&response);
        Ok(connection)
    }

    fn lock(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn not_sent(e: impl fmt::Display) -> LinkError {
    LinkError::NotSent(e.to_string())
}
