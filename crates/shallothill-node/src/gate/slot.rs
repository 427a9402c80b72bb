//! The slot that a request occupies at a backend server.

use std::sync::Arc;
use std::time::Duration;

use hyper::Response;
use shallothill_core::hash::Fingerprint;
use shallothill_policy::admit::{SlotOutcome, Ticket};
use shallothill_policy::detect::Evidence;
use shallothill_policy::retry::RetryWorth;
use tokio::time::Instant;

use crate::crashes::QuarantinePermit;
use crate::gate::parent_requests::TrackedParent;
use crate::gate::{Connection, Endpoint};
use crate::refusal::Refusal;

/// `Slot` holds a slot of a backend server and collects the evidence that its request gives;
/// dropping it frees the slot.
#[derive(Debug)]
pub(crate) struct Slot {
    endpoint: Arc<Endpoint>,
    ticket: Ticket,
    repeated: bool,
    rank: u8,
    started: Option<Instant>,
    evidence_recorded: bool,
    served_latency: Option<Duration>,
    /// Set while calls of the request can be recognised.
    parent: Option<TrackedParent>,
}

impl Slot {
    pub(crate) fn new(endpoint: Arc<Endpoint>, ticket: Ticket) -> Self {
        Self {
            endpoint,
            ticket,
            repeated: false,
            rank: 0,
            started: None,
            evidence_recorded: false,
            served_latency: None,
            parent: None,
        }
    }

    /// `with_retry_allowance` marks whether the request may have reached a backend server before,
    /// and counts such a request as a retry.
    ///
    /// Fails with a refusal of outcome `RefusedNotRun` when the retry allowance is used up.
    pub(crate) fn with_retry_allowance(
        mut self,
        repeated: bool,
        worth: RetryWorth,
    ) -> Result<Self, Refusal> {
        self.repeated = repeated;
        self.rank = worth.rank;
        if repeated {
            self.endpoint.consume_retry(worth)?;
        }
        Ok(self)
    }

    /// `is_repeated` tells whether the request may have reached a backend server before.
    pub(crate) fn is_repeated(&self) -> bool {
        self.repeated
    }

    /// `track_calls` recognises the calls of the request until the slot is freed.
    pub(crate) fn track_calls(&mut self, parent: TrackedParent) {
        self.parent = Some(parent);
    }

    /// `mark_response` marks the response if a call of the request lacked capacity.
    pub(crate) fn mark_response<B>(&self, response: &mut Response<B>) {
        if let Some(parent) = &self.parent {
            parent.mark_response(response);
        }
    }

    /// `endpoint` returns the endpoint that the slot belongs to.
    pub(crate) fn endpoint(&self) -> &Arc<Endpoint> {
        &self.endpoint
    }

    /// `start` records that the request is about to be written; `objective` is the latency
    /// objective of its route. Only the first call has an effect.
    pub(crate) fn start(&mut self, fingerprint: Fingerprint, objective: Duration) {
        if self.started.is_none() {
            self.started = Some(Instant::now());
            self.endpoint
                .record_start(self.ticket, fingerprint, objective);
            if !self.repeated {
                self.endpoint.count_first_attempt(self.rank);
            }
        }
    }

    /// `record_response` records that the response headers have arrived. The latency is measured up
    /// to this point, since a caller that reads the body slowly must not make the backend server
    /// look slow.
    pub(crate) fn record_response(&mut self, status: u16) {
        let latency = self.started.map_or(Duration::ZERO, |s| s.elapsed());
        let evidence = match status {
            503 => Evidence::Shed,
            500..=599 => Evidence::Failed,
            _ => Evidence::Served(latency),
        };
        if matches!(evidence, Evidence::Served(_)) {
            self.served_latency = Some(latency);
        }
        self.record_evidence(evidence);
    }

    /// `record_shed` records a response which says that the request was not run.
    pub(crate) fn record_shed(&mut self) {
        self.record_evidence(Evidence::Shed);
    }

    /// `record_broken` records that the connection failed before the response was complete.
    pub(crate) fn record_broken(&mut self) {
        self.served_latency = None;
        if self.evidence_recorded {
            self.endpoint.record_truncation(self.ticket);
        } else {
            self.record_evidence(Evidence::Reset);
        }
    }

    fn end(&self) -> SlotOutcome {
        match (self.served_latency, self.started) {
            (Some(latency), _) => SlotOutcome::Served(latency),
            (None, Some(started)) if !self.evidence_recorded => {
                SlotOutcome::Abandoned(started.elapsed())
            }
            _ => SlotOutcome::Failed,
        }
    }

    fn record_evidence(&mut self, evidence: Evidence) {
        if self.started.is_some() && !self.evidence_recorded {
            self.evidence_recorded = true;
            let age = self.started.map_or(Duration::ZERO, |s| s.elapsed());
            self.endpoint.record_evidence(self.ticket, evidence, age);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let end = self.end();
        self.record_evidence(Evidence::Abandoned);
        self.endpoint.release_slot(self.ticket, end);
    }
}

/// `RunningRequest` holds the slot and the connection of a response that is being read.
///
/// Dropping it before the end closes the connection, which cancels the request.
#[derive(Debug)]
pub struct RunningRequest {
    slot: Slot,
    connection: Option<Connection>,
    permit: Option<QuarantinePermit>,
}

impl RunningRequest {
    /// `new` guards the response on `connection`; `permit` is present when the request came from
    /// another node.
    pub(crate) fn new(
        slot: Slot,
        connection: Connection,
        permit: Option<QuarantinePermit>,
    ) -> Self {
        Self {
            slot,
            connection: Some(connection),
            permit,
        }
    }

    /// `complete` frees the slot and keeps the connection for another request, after the response
    /// was read to its end.
    pub fn complete(mut self) {
        if let Some(connection) = self.connection.take() {
            self.slot.endpoint().pool.put_idle(connection);
        }
        let endpoint = self.slot.endpoint();
        if let Some(permit) = &self.permit
            && self.slot.served_latency.is_some()
            && endpoint.is_up()
        {
            permit.record_answer(endpoint.now());
        }
    }

    /// `abort` records that the response was truncated or invalid, and closes the connection.
    pub fn abort(mut self) {
        self.slot.record_broken();
    }
}
