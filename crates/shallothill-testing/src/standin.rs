//! A stand-in backend server that runs inside a test process or behind the binary.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioIo;
use log::debug;
use snafu::ResultExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time;
use tokio_util::sync::{CancellationToken, DropGuard};
use tokio_util::task::TaskTracker;

use crate::announcer::Announcer;
use crate::behaviour::Behaviour;
use crate::errors;
use crate::options::StandinOptions;
use crate::record::RecordedRequest;
use crate::server::Shared;

/// `DRAIN_GRACE` is the time for which requests can still arrive that the gate admitted before it
/// received the draining state.
const DRAIN_GRACE: Duration = Duration::from_millis(300);

/// `POLL_INTERVAL` is the time between two checks of a counter.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// `Standin` is a running stand-in; dropping it closes its connections at once.
#[derive(Debug)]
pub struct Standin {
    shared: Arc<Shared>,
    /// Cancelled to close each connection after its current response.
    graceful_close: CancellationToken,
    connections: TaskTracker,
    _stop: DropGuard,
}

impl Standin {
    /// `start` binds the listener, serves requests and announces the stand-in to its node.
    ///
    /// Fails with `Listen` when the address cannot be used, or `File` when the record file
    /// cannot be created.
    pub async fn start(options: StandinOptions) -> errors::Result<Self> {
        let address = options.listen;
        let listener = TcpListener::bind(address).await;
        let listener = listener.context(errors::ListenSnafu { address })?;
        let address = listener
            .local_addr()
            .context(errors::ListenSnafu { address })?;
        let shared = Arc::new(Shared::try_new(options, address)?);
        // A crash closes the listener and all connections, as the exit of a process does.
        let stop = shared.crash.child_token();
        let acceptor = Acceptor {
            shared: Arc::clone(&shared),
            stop: stop.clone(),
            graceful_close: CancellationToken::new(),
            connections: TaskTracker::new(),
        };
        let (graceful_close, connections) = (
            acceptor.graceful_close.clone(),
            acceptor.connections.clone(),
        );
        tokio::spawn(acceptor.run(listener));
        let announcer = Announcer::new(Arc::clone(&shared));
        let stopped = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = announcer.run() => {}
                () = stopped.cancelled() => {}
            }
        });
        Ok(Self {
            shared,
            graceful_close,
            connections,
            _stop: stop.drop_guard(),
        })
    }

    /// `address` returns the bound address, with the actual port if port 0 was requested.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// `record` returns a copy of the requests that it processed so far.
    pub fn record(&self) -> Vec<RecordedRequest> {
        self.shared.record.requests()
    }

    /// `behaviour` returns a copy of the current behaviour.
    pub fn behaviour(&self) -> Behaviour {
        self.shared.behaviour().0
    }

    /// `set_behaviour` replaces the behaviour for requests from now on and triggers an
    /// announcement.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.shared.set_behaviour(behaviour);
    }

    /// `crashed` waits until a request carries the crash mark.
    pub async fn crashed(&self) {
        self.shared.crash.cancelled().await;
    }

    /// `shut_down` announces draining, waits for running requests, withdraws the announcement and
    /// closes the connections.
    pub async fn shut_down(self) {
        let announcer = Announcer::new(Arc::clone(&self.shared));
        self.set_behaviour(Behaviour {
            draining: true,
            claimed_state: None,
            ..self.behaviour()
        });
        announcer.announce().await;
        time::sleep(DRAIN_GRACE).await;
        while self.shared.running.load(Ordering::Relaxed) > 0 {
            time::sleep(POLL_INTERVAL).await;
        }
        announcer.remove().await;
        // The last responses may not be flushed yet, so the connections are closed gracefully.
        self.graceful_close.cancel();
        self.connections.close();
        self.connections.wait().await;
    }
}

/// `Acceptor` accepts and answers the connections of a stand-in.
struct Acceptor {
    shared: Arc<Shared>,
    stop: CancellationToken,
    graceful_close: CancellationToken,
    connections: TaskTracker,
}

impl Acceptor {
    async fn run(self, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.stop.cancelled() => return,
                () = self.graceful_close.cancelled() => return,
            };
            let Ok((stream, _)) = accepted else {
                // `accept` fails while the limit of open files is reached, which may be temporary.
                time::sleep(POLL_INTERVAL).await;
                continue;
            };
            // Responses are small; Nagle's algorithm would add delay to the measured latency.
            let _ = stream.set_nodelay(true);
            let shared = Arc::clone(&self.shared);
            let (stop, graceful_close) = (self.stop.clone(), self.graceful_close.clone());
            self.connections.spawn(async move {
                tokio::select! {
                    () = serve_connection(stream, shared, graceful_close) => {}
                    () = stop.cancelled() => {}
                }
            });
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    shared: Arc<Shared>,
    graceful_close: CancellationToken,
) {
    let answer = service::service_fn(|req| {
        let shared = Arc::clone(&shared);
        async move { Ok::<_, Infallible>(shared.answer(req).await) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), answer);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = graceful_close.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = result {
        debug!("standin: a connection closed with an error: {e}");
    }
}
