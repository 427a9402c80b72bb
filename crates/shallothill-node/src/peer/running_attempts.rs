//! Runs the attempts of other nodes so that they outlive the connection they arrived on.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use hyper::http::response;
use tokio::runtime;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::attempt::{Attempt, AttemptReply};
use crate::body::Body;
use crate::gate::Gate;
use crate::peer::attempt_table::{AttemptState, AttemptTable};
use crate::peer::{AttemptId, ProcessId};
use crate::refusal::Refusal;
use crate::reply_by::ReplyBy;

/// `DETACHED_TIME` is the time for which an attempt runs on after its connection has closed. It is
/// the time for the entry node to ask for it on another connection; a caller that has left does not
/// ask.
const DETACHED_TIME: Duration = Duration::from_millis(250);

/// `MAX_KEPT_BYTES` bounds the body of a reply that is kept for another connection.
const MAX_KEPT_BYTES: usize = 64 * 1024;

/// `KeptReply` is a reply that can be sent more than once.
#[derive(Clone, Debug)]
struct KeptReply {
    parts: response::Parts,
    body: Bytes,
    reply: Arc<AttemptReply>,
}

impl KeptReply {
    fn of(reply: &AttemptReply) -> Option<Self> {
        let body = reply.response.body().buffered()?;
        if body.len() > MAX_KEPT_BYTES {
            return None;
        }
        let mut empty = Response::new(Body::empty());
        *empty.status_mut() = reply.response.status();
        *empty.headers_mut() = reply.response.headers().clone();
        let (parts, _) = empty.into_parts();
        let reply = AttemptReply {
            outcome: reply.outcome,
            response: Response::new(Body::empty()),
            load: reply.load,
            crash_number: reply.crash_number,
            from_gate: reply.from_gate,
            reached_backend: reply.reached_backend,
        };
        Some(Self {
            parts,
            body,
            reply: Arc::new(reply),
        })
    }

    fn to_reply(&self) -> AttemptReply {
        AttemptReply {
            outcome: self.reply.outcome,
            response: Response::from_parts(self.parts.clone(), Body::full(self.body.clone())),
            load: self.reply.load,
            crash_number: self.reply.crash_number,
            from_gate: self.reply.from_gate,
            reached_backend: self.reply.reached_backend,
        }
    }
}

/// `RunningAttempt` is an attempt and the number of connections that wait for it.
#[derive(Debug, Default)]
struct RunningAttempt {
    waiting: AtomicUsize,
    ended: CancellationToken,
    reply_by: ReplyBy,
    task: OnceLock<AbortHandle>,
}

/// `RunningAttempts` runs attempts and tells entry nodes what became of them.
#[derive(Debug)]
pub struct RunningAttempts {
    process: ProcessId,
    table: Mutex<AttemptTable<KeptReply, Arc<RunningAttempt>>>,
}

/// `WaitGuard` counts one connection that waits for an attempt; the attempt is cancelled some time
/// after the last one is gone.
struct WaitGuard {
    attempts: Arc<RunningAttempts>,
    id: AttemptId,
    running: Arc<RunningAttempt>,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let last = self.running.waiting.fetch_sub(1, Ordering::Relaxed) == 1;
        if !last || self.running.ended.is_cancelled() {
            return;
        }
        // Without a runtime the process is ending.
        let Ok(runtime) = runtime::Handle::try_current() else {
            return;
        };
        let (attempts, id) = (Arc::clone(&self.attempts), self.id);
        let running = Arc::clone(&self.running);
        runtime.spawn(async move {
            time::sleep(DETACHED_TIME).await;
            if running.waiting.load(Ordering::Relaxed) == 0 {
                attempts.cancel(id, &running);
            }
        });
    }
}

impl RunningAttempts {
    /// `new` knows no attempts; `process` identifies this process.
    pub fn new(process: ProcessId) -> Self {
        Self {
            process,
            table: Mutex::default(),
        }
    }

    /// `process` returns the id of this process.
    pub fn process(&self) -> ProcessId {
        self.process
    }

    /// `run` runs an attempt at `gate`. Its caller may be dropped and another one may wait with
    /// [`Self::wait`].
    pub async fn run(
        self: &Arc<Self>,
        id: AttemptId,
        gate: Arc<Gate>,
        attempt: Attempt,
    ) -> AttemptReply {
        let running = Arc::new(RunningAttempt {
            reply_by: attempt.reply_by.clone(),
            ..RunningAttempt::default()
        });
        if !self.lock().start(id, Arc::clone(&running)) {
            return GIVEN_UP.reply_from_gate();
        }
        let _guard = self.guard(id, &running);
        let (tx, rx) = oneshot::channel();
        let (this, ended) = (Arc::clone(self), running.ended.clone());
        let task = tokio::spawn(async move {
            let reply = gate.run(attempt, false).await;
            let kept = KeptReply::of(&reply).map(|k| (k.clone(), k.body.len()));
            this.lock().finish(id, kept);
            ended.cancel();
            // Without a receiver, only the kept reply is left.
            let _ = tx.send(reply);
        });
        let _ = running.task.set(task.abort_handle());
        match rx.await {
            Ok(reply) => reply,
            Err(_) => {
                self.cancel(id, &running);
                CANCELLED.reply_from_gate()
            }
        }
    }

    /// `wait` returns the reply of an attempt that was sent on another connection, once it has
    /// ended. `sent_to` is the process that the entry node sent it to, if it knows that. An attempt
    /// that has not arrived is refused from then on.
    pub async fn wait(self: &Arc<Self>, id: AttemptId, sent_to: Option<ProcessId>) -> AttemptReply {
        let same_process = sent_to == Some(self.process);
        loop {
            let state = self.lock().ask(id, same_process);
            match state {
                AttemptState::NeverRuns => return NOT_ARRIVED.reply_from_gate(),
                AttemptState::Unknown => return CANCELLED.reply_from_gate(),
                AttemptState::Ended(kept) => return kept.to_reply(),
                AttemptState::Running(running) => {
                    let _guard = self.guard(id, &running);
                    running.ended.cancelled().await;
                }
            }
        }
    }

    /// `limit_reply` records that the entry node of an attempt stops at `reply_by`. An attempt that
    /// has not arrived is refused from then on.
    pub fn limit_reply(&self, id: AttemptId, reply_by: Instant) {
        if let AttemptState::Running(running) = self.lock().ask(id, true) {
            running.reply_by.set(reply_by);
        }
    }

    fn guard(self: &Arc<Self>, id: AttemptId, running: &Arc<RunningAttempt>) -> WaitGuard {
        running.waiting.fetch_add(1, Ordering::Relaxed);
        WaitGuard {
            attempts: Arc::clone(self),
            id,
            running: Arc::clone(running),
        }
    }

    fn cancel(&self, id: AttemptId, running: &RunningAttempt) {
        if running.ended.is_cancelled() {
            return;
        }
        if let Some(task) = running.task.get() {
            task.abort();
        }
        self.lock().finish(id, None);
        running.ended.cancel();
    }

    fn lock(&self) -> MutexGuard<'_, AttemptTable<KeptReply, Arc<RunningAttempt>>> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

const GIVEN_UP: Refusal = Refusal::not_run(
    "given-up",
    "the request arrived after its sender had given it up; send it again",
);
/// `NOT_ARRIVED_REASON` is the reason for refusing an attempt that was lost on its way.
pub(crate) const NOT_ARRIVED_REASON: &str = "not-arrived";

const NOT_ARRIVED: Refusal = Refusal::not_run(
    NOT_ARRIVED_REASON,
    "the request was lost before it reached the host of the backend server; send it again",
);
const CANCELLED: Refusal = Refusal::unknown(
    "cancelled",
    "the request was cancelled at the host of the backend server; it may have run",
);
