//! Starts requests that a caller sends before the one in front of them is answered.
//!
//! hyper handles the requests of an HTTP/1.1 connection one after the other. A slow one would then
//! use up the time of those behind it. Requests that were read behind a running one are therefore
//! started at once, and hyper gets their responses when it comes to them, in their order.

use std::collections::HashMap;
use std::future::Future;
use std::pin::{Pin, pin};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use std::{io, mem};

use hyper::header;
use hyper::http::request;
use hyper::{Request, Response};
use shallothill_core::time::Millis;
use shallothill_runtime::memory::{InputMeter, Reservation};
use shallothill_runtime::timer::Timer;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::{Notify, oneshot};
use tokio::task::{AbortHandle, coop};
use tokio::time;

use crate::body::Body;
use crate::listener::RequestHandler;
use crate::request_reader::RequestReader;
use crate::shared_stream;
use crate::shared_stream::SharedStream;
use crate::unread_body::UnreadBody;

/// `MAX_EARLY` bounds the requests of one connection that run ahead of their turn.
const MAX_EARLY: usize = 8;

/// `TURN_BYTES` is read before other tasks run. HTTP/2 passes on all requests that it reads in a turn,
/// and only their tasks reserve memory for their heads, which take many times what was read.
const TURN_BYTES: usize = shared_stream::READ_BYTES;

/// `MAX_TASK_BUDGET` is above the operations that the runtime grants a task in a turn.
const MAX_TASK_BUDGET: usize = 256;

/// `EARLY_BYTES` is the memory of a request that runs ahead of its turn, beside its response. Without
/// it the request waits for its turn.
const EARLY_BYTES: usize = 64 * 1024;

/// `CHECK_PAUSE` is the time between two checks whether requests still wait.
const CHECK_PAUSE: Duration = Duration::from_millis(200);

/// `EarlyRequest` is a request that runs before its turn; dropping it cancels the request.
#[derive(Debug)]
struct EarlyRequest {
    response: oneshot::Receiver<Response<Body>>,
    task: AbortHandle,
    _memory: Reservation,
}

impl Drop for EarlyRequest {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// `Pipeline` holds the requests of one connection that run before their turn.
#[derive(Debug)]
pub(crate) struct Pipeline<A> {
    handler: Arc<A>,
    /// The number of requests that hyper has passed to the handler.
    begun: AtomicU64,
    /// The number of these that are answered.
    answered: AtomicU64,
    /// The number of requests that were read.
    read: AtomicU64,
    /// Notified when a request was read behind another one.
    waiting: Notify,
    early: Mutex<HashMap<u64, EarlyRequest>>,
    /// Notified when the turn of an early request has come.
    turn: Notify,
    /// Counts what was read and not passed to the handler yet.
    meter: InputMeter,
    timer: Timer,
    /// When the first byte of an incomplete head was read, while no request runs.
    partial_head: Mutex<Option<Millis>>,
    /// Notified when `partial_head` is set.
    head_began: Notify,
}

impl<A: RequestHandler> Pipeline<A> {
    /// `new` handles the requests of a connection with `handler`.
    pub fn new(handler: Arc<A>, meter: InputMeter, timer: Timer) -> Self {
        Self {
            handler,
            begun: AtomicU64::new(0),
            answered: AtomicU64::new(0),
            read: AtomicU64::new(0),
            waiting: Notify::new(),
            early: Mutex::default(),
            turn: Notify::new(),
            meter,
            timer,
            partial_head: Mutex::default(),
            head_began: Notify::new(),
        }
    }

    /// `handle` returns the response to the next request of the connection, which may be running
    /// already.
    pub async fn handle(&self, req: Request<UnreadBody>) -> Response<Body> {
        let index = self.begun.fetch_add(1, Ordering::Relaxed);
        self.record_consumed(index);
        let connection = self.meter.holder();
        if !connection.is_writing() {
            connection.stop_waiting();
        }
        let early = self.lock().remove(&index);
        if early.is_some() {
            self.turn.notify_waiters();
        }
        let response = match early {
            Some(mut early) => (&mut early.response).await.ok(),
            None => None,
        };
        // An early request ends without a response only when its task has failed. It may run twice.
        let mut response = match response {
            Some(response) => response,
            None => Box::pin(self.handler.handle(req)).await,
        };
        // The connection closes after the last request that was passed on.
        if self.has_early() {
            response.headers_mut().remove(header::CONNECTION);
        }
        self.answered.fetch_add(1, Ordering::Relaxed);
        // The body was read or is discarded, so that an idle connection is not within a message.
        self.record_consumed(index);
        response
    }

    /// `no_early_requests` returns once no request runs ahead of its turn. The last of them may still
    /// wait for its response then.
    pub async fn no_early_requests(&self) {
        loop {
            let turn = self.turn.notified();
            if !self.has_early() {
                return;
            }
            turn.await;
        }
    }

    /// `ended` returns once the connection is to be closed, since memory is short or its caller makes
    /// no progress.
    pub async fn ended(&self) {
        self.meter.holder().ended().await;
    }

    /// `head_began` returns when the first byte of the next head was read, once it is incomplete and no
    /// request runs.
    pub async fn head_began(&self) -> Millis {
        loop {
            let began = self.head_began.notified();
            if let Some(at) = *self.partial_head() {
                return at;
            }
            began.await;
        }
    }

    // Records whether a part of the next head was read. The time of a head that was read behind another
    // request begins when it is read on.
    fn record_partial_head(&self, partial: bool) {
        let begun = self.begun.load(Ordering::Relaxed);
        let answered = self.answered.load(Ordering::Relaxed);
        let idle = begun == answered && begun == self.read.load(Ordering::Relaxed);
        let mut began = self.partial_head();
        if !partial || !idle {
            *began = None;
        } else if began.is_none() {
            *began = Some(self.timer.now());
            self.head_began.notify_waiters();
        }
    }

    fn partial_head(&self) -> MutexGuard<'_, Option<Millis>> {
        let locked = self.partial_head.lock();
        locked.unwrap_or_else(PoisonError::into_inner)
    }

    // Records that nothing is kept of what was read, if no request waits behind the one at `index`.
    fn record_consumed(&self, index: u64) {
        if index + 1 >= self.read.load(Ordering::Relaxed) {
            self.meter.consumed(0);
        }
    }

    // Waits for the caller, unless a request runs. The body of a running request waits by itself.
    fn wait_for_head(&self) {
        let answered = self.answered.load(Ordering::Relaxed);
        if self.begun.load(Ordering::Relaxed) == answered
            && (answered == 0 || self.meter.is_within_message())
        {
            self.meter.holder().start_waiting();
        }
    }

    fn has_early(&self) -> bool {
        !self.lock().is_empty()
    }

    /// `abandoned` returns once the caller has closed `stream` while requests wait on it. hyper does
    /// not notice that before it has read them.
    pub async fn abandoned(&self, stream: &SharedStream) {
        loop {
            self.waiting.notified().await;
            let closed = stream.closed();
            tokio::pin!(closed);
            while self.read.load(Ordering::Relaxed) > self.begun.load(Ordering::Relaxed) {
                if time::timeout(CHECK_PAUSE, closed.as_mut()).await.is_ok() {
                    return;
                }
            }
        }
    }

    // Records how many requests were read.
    fn record_read(&self, count: u64) {
        self.read.store(count, Ordering::Relaxed);
        if count > self.begun.load(Ordering::Relaxed) {
            self.waiting.notify_one();
        }
    }

    // Starts a request that waits behind another one, if it may run twice.
    fn start_early(&self, index: u64, parts: request::Parts) {
        let begun = self.begun.load(Ordering::Relaxed);
        let waits = index > begun || begun > self.answered.load(Ordering::Relaxed);
        let mut early = self.lock();
        if !waits || early.len() >= MAX_EARLY || !self.handler.may_start_early(&parts) {
            return;
        }
        let Some(memory) = self.meter.holder().try_reserve(EARLY_BYTES) else {
            return;
        };
        let (tx, response) = oneshot::channel();
        let handler = Arc::clone(&self.handler);
        let req = Request::from_parts(parts, UnreadBody::empty());
        let task = tokio::spawn(async move {
            // The connection may have closed.
            let _ = tx.send(handler.handle(req).await);
        });
        let task = task.abort_handle();
        early.insert(
            index,
            EarlyRequest {
                response,
                task,
                _memory: memory,
            },
        );
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, EarlyRequest>> {
        self.early.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// `PipelinedStream` passes bytes on and starts the requests that they contain early.
#[derive(Debug)]
pub(crate) struct PipelinedStream<A> {
    stream: SharedStream,
    reader: RequestReader,
    pipeline: Arc<Pipeline<A>>,
    /// The bytes that were read since other tasks could run.
    read_in_turn: usize,
}

impl<A: RequestHandler> PipelinedStream<A> {
    /// `new` reads the requests of `pipeline` from `stream`.
    pub fn new(stream: SharedStream, pipeline: Arc<Pipeline<A>>) -> Self {
        Self {
            stream,
            reader: RequestReader::default(),
            pipeline,
            read_in_turn: 0,
        }
    }
}

impl<A: RequestHandler> AsyncRead for PipelinedStream<A> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read_in_turn = mem::take(&mut self.read_in_turn);
        if read_in_turn >= TURN_BYTES {
            end_turn(cx);
            return Poll::Pending;
        }
        ready!(self.pipeline.meter.poll_ready(cx))?;
        let filled = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = buf.filled().get(filled..).unwrap_or_default();
        if read.is_empty() {
            self.pipeline.wait_for_head();
            return polled;
        }
        self.pipeline.meter.record_read(read.len());
        self.read_in_turn = read_in_turn + read.len();
        let mut reader = mem::take(&mut self.reader);
        for (index, parts) in reader.read(read) {
            self.pipeline.start_early(index, parts);
        }
        self.pipeline.record_read(reader.found_count());
        self.pipeline.record_partial_head(reader.kept_bytes() > 0);
        self.reader = reader;
        polled
    }
}

impl<A: RequestHandler> PipelinedStream<A> {
    fn record_write(&self, polled: &Poll<io::Result<usize>>) {
        let connection = self.pipeline.meter.holder();
        match polled {
            Poll::Ready(Ok(bytes)) => connection.record_progress(*bytes),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => connection.start_writing(),
        }
    }
}

// Uses up the budget of the task, so that it reads no more until other tasks have run. The HTTP library
// would read again at once.
fn end_turn(cx: &mut Context<'_>) {
    for _ in 0..=MAX_TASK_BUDGET {
        let consumed = pin!(coop::consume_budget()).poll(cx);
        if consumed.is_pending() {
            return;
        }
    }
    cx.waker().wake_by_ref();
}

impl<A: RequestHandler> AsyncWrite for PipelinedStream<A> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP library flushes when all is written.
        let connection = self.pipeline.meter.holder();
        if connection.is_writing() {
            connection.stop_waiting();
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
