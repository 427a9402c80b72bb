//! Requests that wait for a slot of a backend server.

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

/// `Waiting` is a request in the queue of a backend server; dropped before a decision, it leaves.
#[derive(Debug)]
pub(crate) struct Waiting {
    endpoint: Arc<Endpoint>,
    ticket: Ticket,
    settled: bool,
}

impl Waiting {
    /// `new` follows the request of `ticket`, which the gate has queued.
    pub(crate) fn new(endpoint: Arc<Endpoint>, ticket: Ticket) -> Self {
        Self {
            endpoint,
            ticket,
            settled: false,
        }
    }

    /// `wait` waits for a slot until `deadline`.
    ///
    /// Fails with a refusal as not run.
    pub(crate) async fn wait(
        mut self,
        rx: oneshot::Receiver<Result<(), admit::Refusal>>,
        deadline: Instant,
    ) -> Result<Slot, Refusal> {
        let told = time::timeout_at(deadline, rx).await;
        match told {
            Ok(Ok(Ok(()))) => {
                self.settled = true;
                Ok(Slot::new(Arc::clone(&self.endpoint), self.ticket))
            }
            Ok(Ok(Err(reason))) => {
                self.settled = true;
                Err(refusal(reason, Duration::from_millis(100)))
            }
            Ok(Err(_)) | Err(_) => Err(refusal(admit::Refusal::Deadline, Duration::ZERO)),
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        let now = self.endpoint.now();
        let mut inner = self.endpoint.lock();
        inner.waiting.remove(&self.ticket);
        // The slot may have been given while the caller left.
        if !inner.gate.cancel(self.ticket) {
            inner.gate.finish(now, self.ticket, SlotOutcome::Failed);
        }
        inner.pump(now);
    }
}

/// `refusal` translates a refusal of the gate.
pub(crate) fn refusal(reason: admit::Refusal, retry_after: Duration) -> Refusal {
    let message = match reason {
        admit::Refusal::Draining => "the backend server is leaving; send the request again",
        admit::Refusal::Ejected => "the backend server is ejected; send the request again",
        admit::Refusal::QueueFull => "all slots and the queue are full; send the request later",
        admit::Refusal::Deadline => "the deadline cannot be met; allow more time or send it later",
        admit::Refusal::Shed => "a more urgent request took the place; send it later",
    };
    Refusal {
        retry_after: Some(retry_after),
        ..Refusal::not_run(reason.as_str(), message)
    }
}
