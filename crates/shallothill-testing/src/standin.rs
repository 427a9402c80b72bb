//! A stand-in backend server, inside a test's process or behind the binary.

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

/// `DRAIN_GRACE` is the time in which requests that the gate admitted before it learned of the
/// drain still arrive.
const DRAIN_GRACE: Duration = Duration::from_millis(300);

/// `POLL` is the time between two looks at a counter.
const POLL: Duration = Duration::from_millis(10);

/// `Standin` is a running stand-in; dropping it closes its connections at once.
#[derive(Debug)]
pub struct Standin {
    shared: Arc<Shared>,
    /// Cancelled to close each connection after its current answer.
    finish: CancellationToken,
    connections: TaskTracker,
    _stop: DropGuard,
}

impl Standin {
    /// `start` listens, answers requests and announces itself.
    ///
    /// Fails with `Listen` when the address cannot be used, or `File` for the record's file.
    pub async fn start(options: StandinOptions) -> errors::Result<Self> {
        let address = options.listen;
        let listener = TcpListener::bind(address).await;
        let listener = listener.context(errors::ListenSnafu { address })?;
        let address = listener
            .local_addr()
            .context(errors::ListenSnafu { address })?;
        let shared = Arc::new(Shared::try_new(options, address)?);
        // A crash closes the listener and every connection, as the end of a process does.
        let stop = shared.crash.child_token();
        let acceptor = Acceptor {
            shared: Arc::clone(&shared),
            stop: stop.clone(),
            finish: CancellationToken::new(),
            connections: TaskTracker::new(),
        };
        let (finish, connections) = (acceptor.finish.clone(), acceptor.connections.clone());
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
            finish,
            connections,
            _stop: stop.drop_guard(),
        })
    }

    /// `address` returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// `record` returns the requests that it ran.
    pub fn record(&self) -> Vec<RecordedRequest> {
        self.shared.record.requests()
    }

    /// `behaviour` returns how it treats requests.
    pub fn behaviour(&self) -> Behaviour {
        self.shared.behaviour().0
    }

    /// `set_behaviour` changes how it treats requests from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.shared.set_behaviour(behaviour);
    }

    /// `crashed` waits until a request carries the crash mark.
    pub async fn crashed(&self) {
        self.shared.crash.cancelled().await;
    }

    /// `shut_down` announces draining, finishes what runs, takes the announcement back and closes.
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
            time::sleep(POLL).await;
        }
        announcer.remove().await;
        // The last answers may still be on their way through their connections.
        self.finish.cancel();
        self.connections.close();
        self.connections.wait().await;
    }
}

/// `Acceptor` accepts and answers the connections of a stand-in.
struct Acceptor {
    shared: Arc<Shared>,
    stop: CancellationToken,
    finish: CancellationToken,
    connections: TaskTracker,
}

impl Acceptor {
    async fn run(self, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.stop.cancelled() => return,
                () = self.finish.cancelled() => return,
            };
            let Ok((stream, _)) = accepted else {
                // The limit of open files may be reached for a moment.
                time::sleep(POLL).await;
                continue;
            };
            // Answers are small; coalescing would add its delay to the measured latency.
            let _ = stream.set_nodelay(true);
            let shared = Arc::clone(&self.shared);
            let (stop, finish) = (self.stop.clone(), self.finish.clone());
            self.connections.spawn(async move {
                tokio::select! {
                    () = answer(stream, shared, finish) => {}
                    () = stop.cancelled() => {}
                }
            });
        }
    }
}

async fn answer(stream: TcpStream, shared: Arc<Shared>, finish: CancellationToken) {
    let answer = service::service_fn(|req| {
        let shared = Arc::clone(&shared);
        async move { Ok::<_, Infallible>(shared.answer(req).await) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), answer);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = finish.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = result {
        debug!("standin: a connection ended early: {e}");
    }
}
