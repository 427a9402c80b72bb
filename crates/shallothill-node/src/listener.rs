//! Accepts a bounded number of HTTP/1.1 and HTTP/2 connections and closes them gracefully.
//!
//! hyper refuses messages that it cannot parse (400, 414, or 431 beyond the size at which it stops
//! reading) without calling the handler, and offers no way to add headers to these responses. They
//! carry no outcome header and are counted as `malformed`; none of these requests has run.

use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::http::request;
use hyper::service;
use hyper::{Request, Response};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use shallothill_core::config::Limits;
use shallothill_runtime::memory::{Holder, InputMeter, MemoryAccount};
use shallothill_runtime::timer::Timer;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::debug;

use crate::body::Body;
use crate::connection_limits::ConnectionLimits;
use crate::counters::Counters;
use crate::pipeline::{Pipeline, PipelinedStream};
use crate::settings::Bounds;
use crate::shared_stream::SharedStream;
use crate::unread_body::UnreadBody;

/// `WINDOW_BYTES` is the flow-control window of one HTTP/2 stream, which bounds its buffers.
pub const WINDOW_BYTES: u32 = 64 * 1024;

/// `CONNECTION_WINDOW_BYTES` is the flow-control window of the responses of an HTTP/2 connection.
pub const CONNECTION_WINDOW_BYTES: u32 = 1024 * 1024;

/// `RECEIVE_WINDOW_BYTES` is the flow-control window of the request bodies of an HTTP/2 connection, which
/// the library holds outside of the memory account. It carries 50 Mbit/s at a round trip of 40 ms.
const RECEIVE_WINDOW_BYTES: u32 = 256 * 1024;

/// `HEADER_SLACK_FACTOR` is the ratio of the header size at which hyper stops reading to the
/// configured bound. Requests between the two are refused with an outcome header.
const HEADER_SLACK_FACTOR: usize = 2;

/// `MAX_HEADERS` is the largest number of headers that hyper reads.
const MAX_HEADERS: usize = 1024;

/// `ACCEPT_PAUSE` is the pause after a failed accept, and the time to write
/// `CONNECTION_LIMIT_RESPONSE`.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

const CONNECTION_LIMIT_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
x-shallothill-outcome: refused-not-run\r\n\
x-shallothill-reason: connections\r\nretry-after: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// `RequestHandler` handles the requests that a listener accepts.
pub trait RequestHandler: Send + Sync + 'static {
    /// `handle` returns the response to one request; failures are responses too.
    fn handle(&self, req: Request<UnreadBody>) -> impl Future<Output = Response<Body>> + Send;

    /// `may_start_early` tells whether a request without a body may run before those in front of it
    /// on its connection are answered; it may then run twice.
    fn may_start_early(&self, parts: &request::Parts) -> bool {
        let _ = parts;
        false
    }

    /// `limits` returns the limits that the configuration in force sets for these requests.
    fn limits(&self) -> Option<Limits> {
        None
    }
}

/// `Listener` accepts the connections of one address.
#[derive(Debug)]
pub struct Listener {
    /// The largest number of open connections; further ones get a 503 response and are closed.
    pub connections: usize,
    /// The limits on headers and streams, and on times where the configuration sets none.
    pub bounds: Bounds,
    /// The clock for idle times.
    pub timer: Timer,
    /// The account of what the connections hold.
    pub memory: MemoryAccount,
    /// The counter of malformed messages.
    pub counters: Arc<Counters>,
    /// Stops accepting and closes each connection once its requests are answered.
    pub stop: CancellationToken,
    /// The tasks of the open connections.
    pub tasks: TaskTracker,
}

#[derive(Debug, Default)]
struct ConnectionActivity {
    running: AtomicUsize,
    last_end_ms: AtomicU64,
}

struct RunningRequestGuard<'a>(&'a ConnectionActivity, &'a Timer);

impl<'a> RunningRequestGuard<'a> {
    fn start(activity: &'a ConnectionActivity, timer: &'a Timer) -> Self {
        activity.running.fetch_add(1, Ordering::Relaxed);
        Self(activity, timer)
    }
}

impl Drop for RunningRequestGuard<'_> {
    fn drop(&mut self) {
        self.0.last_end_ms.store(self.1.now().0, Ordering::Relaxed);
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Listener {
    /// `run` accepts connections on `socket` until `stop` is cancelled and handles their requests
    /// with `handler`. The socket is closed then, so that later connections are refused.
    pub async fn run<A: RequestHandler>(self, socket: TcpListener, handler: Arc<A>) {
        let permits = Arc::new(Semaphore::new(self.connections));
        let address = socket.local_addr().ok();
        let this = Arc::new(self);
        loop {
            let accepted = tokio::select! {
                accepted = socket.accept() => accepted,
                () = this.stop.cancelled() => return,
            };
            let Ok((mut stream, _)) = accepted else {
                // The process may have reached its limit of open files for a moment.
                time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let permit = Arc::clone(&permits).try_acquire_owned();
            if permit.is_err() {
                // The next connection finds the place of the one that ends.
                this.memory.evict_newest(address);
            }
            let Ok(permit) = permit else {
                this.tasks.spawn(async move {
                    let _ =
                        time::timeout(ACCEPT_PAUSE, stream.write_all(CONNECTION_LIMIT_RESPONSE))
                            .await;
                });
                continue;
            };
            let _ = stream.set_nodelay(true);
            let holder = this.memory.connection_holder(address);
            let (this, handler) = (Arc::clone(&this), Arc::clone(&handler));
            let tasks = this.tasks.clone();
            tasks.spawn(async move {
                this.serve(stream, holder, handler).await;
                drop(permit);
            });
        }
    }

    // The HTTP library reads no more than this of a head, or of a body at a time.
    fn read_bytes(&self) -> usize {
        let header_bytes = self.bounds.header_bytes.saturating_mul(HEADER_SLACK_FACTOR);
        header_bytes.max(8192)
    }

    fn limits(&self, handler: &impl RequestHandler) -> ConnectionLimits {
        ConnectionLimits::new(handler.limits(), &self.bounds)
    }

    fn builder(&self, limits: ConnectionLimits) -> auto::Builder<TokioExecutor> {
        let mut builder = auto::Builder::new(TokioExecutor::new());
        let header_bytes = self.read_bytes();
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(self.head_wait(limits))
            .max_headers(MAX_HEADERS)
            .max_buf_size(header_bytes);
        builder
            .http2()
            .timer(TokioTimer::new())
            .initial_stream_window_size(WINDOW_BYTES)
            .initial_connection_window_size(RECEIVE_WINDOW_BYTES)
            .max_send_buf_size(WINDOW_BYTES as usize)
            .max_concurrent_streams(self.bounds.streams)
            .max_header_list_size(u32::try_from(header_bytes).unwrap_or(u32::MAX))
            .keep_alive_interval(Duration::from_secs(10))
            .keep_alive_timeout(Duration::from_secs(10));
        builder
    }

    // The HTTP library counts the time for a head from the end of the request before it, so its limit
    // holds the idle time too. It ends heads that the pipeline does not follow.
    fn head_wait(&self, limits: ConnectionLimits) -> Duration {
        let idle = limits.idle_timeout.max(self.bounds.idle_timeout());
        idle.saturating_add(limits.header_timeout)
    }

    async fn serve<A: RequestHandler>(&self, stream: TcpStream, holder: Holder, handler: Arc<A>) {
        let activity = Arc::new(ConnectionActivity::default());
        activity
            .last_end_ms
            .store(self.timer.now().0, Ordering::Relaxed);
        let request_activity = Arc::clone(&activity);
        let timer = self.timer.clone();
        let meter = InputMeter::new(holder, self.read_bytes());
        let limits = self.limits(&*handler);
        let limits_handler = Arc::clone(&handler);
        let pipeline = Arc::new(Pipeline::new(handler, meter, self.timer.clone()));
        let socket = SharedStream::new(stream);
        let stream = PipelinedStream::new(socket.clone(), Arc::clone(&pipeline));
        let waiting = Arc::clone(&pipeline);
        let service = service::service_fn(move |req: Request<Incoming>| {
            let (pipeline, request_activity, timer) = (
                Arc::clone(&pipeline),
                Arc::clone(&request_activity),
                timer.clone(),
            );
            async move {
                let _running = RunningRequestGuard::start(&request_activity, &timer);
                let req = req.map(UnreadBody::new);
                Ok::<_, Infallible>(pipeline.handle(req).await)
            }
        });
        let builder = self.builder(limits);
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let end = self.end_without_response(&waiting, &socket, &*limits_handler);
        let closing = async {
            tokio::select! {
                () = self.stopped(&waiting) => {}
                () = self.wait_idle(&activity, &*limits_handler) => {}
            }
        };
        tokio::pin!(end, closing);
        let mut is_closing = false;
        let result = loop {
            tokio::select! {
                result = connection.as_mut() => break result,
                reason = end.as_mut() => {
                    debug!("listener: {reason}");
                    return;
                }
                () = closing.as_mut(), if !is_closing => {
                    is_closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        };
        if let Err(e) = result {
            if is_parse_error(e.as_ref()) {
                self.counters.count_malformed();
            }
            debug!("listener: a connection ended early: {e}");
        }
    }

    // Returns the reason once the connection is to be closed at once.
    async fn end_without_response<A: RequestHandler>(
        &self,
        pipeline: &Pipeline<A>,
        socket: &SharedStream,
        handler: &A,
    ) -> &'static str {
        tokio::select! {
            () = pipeline.abandoned(socket) => "a caller left with requests waiting",
            () = pipeline.ended() => "a connection without progress is closed",
            () = self.head_overdue(pipeline, handler) => "the headers of a request came too slowly",
        }
    }

    async fn head_overdue<A: RequestHandler>(&self, pipeline: &Pipeline<A>, handler: &A) {
        loop {
            let began = pipeline.head_began().await;
            let limit = self.limits(handler).header_timeout;
            let age = self.timer.now().saturating_since(began);
            if age >= limit {
                return;
            }
            // The timer fails only when the process ends.
            let _ = self.timer.after(limit - age).await;
        }
    }

    // Returns once the connection is to be closed after its current request. Requests that were
    // passed on before their turn come first, as their responses would be lost.
    async fn stopped<A: RequestHandler>(&self, pipeline: &Pipeline<A>) {
        self.stop.cancelled().await;
        pipeline.no_early_requests().await;
    }

    // Returns once no request has run for the idle timeout, so that the connection is closed. This
    // also covers connections that never send a request.
    async fn wait_idle(&self, activity: &ConnectionActivity, handler: &impl RequestHandler) {
        loop {
            let limit = self.limits(handler).idle_timeout;
            let last = activity.last_end_ms.load(Ordering::Relaxed);
            let idle = self
                .timer
                .now()
                .saturating_since(shallothill_core::time::Millis(last));
            let running = activity.running.load(Ordering::Relaxed) > 0;
            if !running && idle >= limit {
                return;
            }
            let pause = if running { limit } else { limit - idle };
            // The timer fails only when the process ends.
            let _ = self.timer.after(pause.max(Duration::from_millis(1))).await;
        }
    }
}

fn is_parse_error(e: &(dyn Error + 'static)) -> bool {
    e.downcast_ref::<hyper::Error>()
        .is_some_and(hyper::Error::is_parse)
}
