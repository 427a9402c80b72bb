//! Requests that are queued for a slot of a backend server.

use std::sync::Arc;
use std::time::Duration;

use shallothill_policy::admit;
use shallothill_policy::admit::{SlotOutcome, Ticket};
use tokio::sync::oneshot;
use tokio::time;
use tokio::time::Instant;

use crate::gate::Endpoint;
use crate::gate::slot::Slot;
use crate::refusal::Refusal;
use crate::reply_by::ReplyBy;

/// `QueuedRequest` is a request in the queue of a backend server; dropping it before it is admitted
/// or refused removes it from the queue.
#[derive(Debug)]
pub(crate) struct QueuedRequest {
    endpoint: Arc<Endpoint>,
    ticket: Ticket,
    decided: bool,
}

impl QueuedRequest {
    /// `new` wraps the request of `ticket`, which the admission gate has queued.
    pub(crate) fn new(endpoint: Arc<Endpoint>, ticket: Ticket) -> Self {
        Self {
            endpoint,
            ticket,
            decided: false,
        }
    }

    /// `wait` waits for a slot until `deadline`, as long as the request can be answered until
    /// `reply_by`.
    ///
    /// Fails with a refusal of outcome `RefusedNotRun`.
    pub(crate) async fn wait(
        mut self,
        rx: oneshot::Receiver<Result<(), admit::Refusal>>,
        deadline: Instant,
        reply_by: &ReplyBy,
        rank: u8,
    ) -> Result<Slot, Refusal> {
        let decision = time::timeout_at(deadline, self.decision(rx, reply_by)).await;
        match decision {
            Ok(Ok(Ok(()))) => {
                self.decided = true;
                Ok(Slot::new(Arc::clone(&self.endpoint), self.ticket))
            }
            Ok(Ok(Err(reason))) => {
                self.decided = true;
                let now = self.endpoint.now();
                let retry_after = self.endpoint.lock().gate.retry_after(now, rank);
                Err(admission_refusal(reason, retry_after))
            }
            Ok(Err(_)) | Err(_) => Err(admission_refusal(admit::Refusal::Deadline, Duration::ZERO)),
        }
    }

    // Returns the decision of the admission gate. Once `reply_by` is set, the gate may refuse the
    // request because of it.
    async fn decision(
        &self,
        mut rx: oneshot::Receiver<Result<(), admit::Refusal>>,
        reply_by: &ReplyBy,
    ) -> Result<Result<(), admit::Refusal>, oneshot::error::RecvError> {
        tokio::select! {
            biased;
            decision = &mut rx => return decision,
            at = reply_by.wait_set() => self.endpoint.limit_reply(self.ticket, at),
        }
        rx.await
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        if self.decided {
            return;
        }
        let now = self.endpoint.now();
        let mut inner = self.endpoint.lock();
        inner.waiters.remove(&self.ticket);
        // The slot may have been granted just before the caller disconnected.
        if !inner.gate.cancel(self.ticket) {
            inner.gate.finish(now, self.ticket, SlotOutcome::Failed);
        }
        inner.notify_waiters(now);
    }
}

/// `admission_refusal` builds the refusal for a decision of the admission gate.
pub(crate) fn admission_refusal(reason: admit::Refusal, retry_after: Duration) -> Refusal {
    let message = match reason {
        admit::Refusal::Draining => "the backend server is leaving; send the request again",
        admit::Refusal::Ejected => "the backend server is ejected; send the request again",
        admit::Refusal::QueueFull => "all slots and the queue are full; send the request later",
        admit::Refusal::Deadline => "the deadline cannot be met; allow more time or send it later",
        admit::Refusal::Stopping => {
            "the node that took the request stops before it can be answered; send it to another"
        }
        admit::Refusal::Overload => "more urgent requests fill the queue; send it later",
        admit::Refusal::Shed => "a more urgent request took the place; send it later",
    };
    Refusal {
        retry_after: Some(retry_after),
        ..Refusal::not_run(reason.as_str(), message)
    }
}
