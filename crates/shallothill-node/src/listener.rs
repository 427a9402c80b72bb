//! Accepts HTTP/1.1 and HTTP/2 connections within bounds and closes them gracefully.
//!
//! hyper refuses messages that it cannot read (400, 414, or 431 beyond the size at which reading
//! stops) without calling the service, and its interface cannot add headers to these responses.
//! They carry no outcome header; none of these requests has run. They are counted as `malformed`.

use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::service;
use hyper::{Request, Response};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use shallothill_runtime::timer::Timer;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::debug;

use crate::body::Body;
use crate::counters::Counters;
use crate::settings::Bounds;

/// `WINDOW_BYTES` bounds what is buffered for one stream of an HTTP/2 connection.
pub const WINDOW_BYTES: u32 = 64 * 1024;

/// `CONNECTION_WINDOW_BYTES` bounds what is buffered for all streams of a connection.
pub const CONNECTION_WINDOW_BYTES: u32 = 1024 * 1024;

/// `HEADER_SLACK` is the factor between the bound on headers, which is answered with an outcome,
/// and the size at which reading stops.
const HEADER_SLACK: usize = 4;

/// `HEADERS_MAX` is the number of headers at which reading stops.
const HEADERS_MAX: usize = 1024;

/// `ACCEPT_PAUSE` is the pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

const FULL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nx-shallothill-outcome: refused-not-run\r\n\
x-shallothill-reason: connections\r\nretry-after: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// `RequestHandler` answers requests of a listener.
pub trait RequestHandler: Send + Sync + 'static {
    /// `handle` answers one request.
    fn handle(&self, req: Request<Incoming>) -> impl Future<Output = Response<Body>> + Send;
}

/// `Listener` accepts connections for one kind of clients.
#[derive(Debug)]
pub struct Listener {
    /// The listening socket.
    pub socket: TcpListener,
    /// The largest number of connections.
    pub connections: usize,
    /// The bounds of the process.
    pub bounds: Bounds,
    /// The timer service.
    pub timer: Timer,
    /// Counters for metrics.
    pub counters: Arc<Counters>,
    /// Ends accepting and closes connections once their requests are answered.
    pub stop: CancellationToken,
    /// Tracks the connections.
    pub tasks: TaskTracker,
}

#[derive(Debug, Default)]
struct Activity {
    running: AtomicUsize,
    last: AtomicU64,
}

struct Running<'a>(&'a Activity, &'a Timer);

impl<'a> Running<'a> {
    fn start(activity: &'a Activity, timer: &'a Timer) -> Self {
        activity.running.fetch_add(1, Ordering::Relaxed);
        Self(activity, timer)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.last.store(self.1.now().0, Ordering::Relaxed);
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Listener {
    /// `run` accepts connections until `stop` is cancelled.
    pub async fn run<A: RequestHandler>(self, handler: Arc<A>) {
        let permits = Arc::new(Semaphore::new(self.connections));
        let this = Arc::new(self);
        loop {
            let accepted = tokio::select! {
                accepted = this.socket.accept() => accepted,
                () = this.stop.cancelled() => return,
            };
            let Ok((mut stream, _)) = accepted else {
                // The limit of open files may be reached for a moment.
                time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
                this.tasks.spawn(async move {
                    let _ = time::timeout(ACCEPT_PAUSE, stream.write_all(FULL)).await;
                });
                continue;
            };
            let _ = stream.set_nodelay(true);
            let (this, handler) = (Arc::clone(&this), Arc::clone(&handler));
            let tasks = this.tasks.clone();
            tasks.spawn(async move {
                this.serve(stream, handler).await;
                drop(permit);
            });
        }
    }

    fn builder(&self) -> auto::Builder<TokioExecutor> {
        let mut builder = auto::Builder::new(TokioExecutor::new());
        let header_bytes = self.bounds.header_bytes.saturating_mul(HEADER_SLACK);
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(self.bounds.header_timeout())
            .max_headers(HEADERS_MAX)
            .max_buf_size(header_bytes.max(8192));
        builder
            .http2()
            .timer(TokioTimer::new())
            .initial_stream_window_size(WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .max_send_buf_size(WINDOW_BYTES as usize)
            .max_concurrent_streams(self.bounds.streams)
            .max_header_list_size(u32::try_from(header_bytes).unwrap_or(u32::MAX))
            .keep_alive_interval(Duration::from_secs(10))
            .keep_alive_timeout(Duration::from_secs(10));
        builder
    }

    async fn serve<A: RequestHandler>(&self, stream: TcpStream, handler: Arc<A>) {
        let activity = Arc::new(Activity::default());
        activity.last.store(self.timer.now().0, Ordering::Relaxed);
        let noted = Arc::clone(&activity);
        let timer = self.timer.clone();
        let service = service::service_fn(move |req| {
            let (handler, noted, timer) = (Arc::clone(&handler), Arc::clone(&noted), timer.clone());
            async move {
                let _running = Running::start(&noted, &timer);
                Ok::<_, Infallible>(handler.handle(req).await)
            }
        });
        let builder = self.builder();
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let idle = self.wait_idle(&activity);
        tokio::pin!(idle);
        let result = tokio::select! {
            result = connection.as_mut() => result,
            () = self.stop.cancelled() => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
            () = idle => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(e) = result {
            if refused_by_hyper(e.as_ref()) {
                self.counters.count_malformed();
            }
            debug!("listener: a connection ended early: {e}");
        }
    }

    // A connection without a request for the idle time is closed, which also bounds those that
    // never send one.
    async fn wait_idle(&self, activity: &Activity) {
        let limit = self.bounds.idle_timeout();
        loop {
            let last = activity.last.load(Ordering::Relaxed);
            let idle = self
                .timer
                .now()
                .saturating_since(shallothill_core::time::Millis(last));
            let running = activity.running.load(Ordering::Relaxed) > 0;
            if !running && idle >= limit {
                return;
            }
            let pause = if running { limit } else { limit - idle };
            // The service ends only with the process.
            let _ = self.timer.after(pause.max(Duration::from_millis(1))).await;
        }
    }
}

fn refused_by_hyper(e: &(dyn Error + 'static)) -> bool {
    e.downcast_ref::<hyper::Error>()
        .is_some_and(hyper::Error::is_parse)
}
