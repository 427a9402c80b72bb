//! The slot of one request at a backend server.

use std::sync::Arc;
use std::time::Duration;

use shallothill_core::hash::Fingerprint;
use shallothill_policy::admit::{End, Ticket};
use shallothill_policy::detect::Evidence;
use tokio::time::Instant;

use crate::crashes::QuarantinePermit;
use crate::gate::{Connection, Endpoint};
use crate::refusal::Refusal;

/// `Slot` holds a slot; dropping it frees the slot.
#[derive(Debug)]
pub(crate) struct Slot {
    endpoint: Arc<Endpoint>,
    ticket: Ticket,
    repeated: bool,
    started: Option<Instant>,
    observed: bool,
    served: Option<Duration>,
}

impl Slot {
    pub(crate) fn new(endpoint: Arc<Endpoint>, ticket: Ticket) -> Self {
        Self {
            endpoint,
            ticket,
            repeated: false,
            started: None,
            observed: false,
            served: None,
        }
    }

    /// `for_repeated` marks the slot of a request that may have reached a backend server before.
    ///
    /// Fails with a refusal as not run when the retries of the service are used up.
    pub(crate) fn for_repeated(mut self, repeated: bool) -> Result<Self, Refusal> {
        self.repeated = repeated;
        if repeated {
            self.endpoint.take_retry()?;
        }
        Ok(self)
    }

    /// `endpoint` returns the backend server.
    pub(crate) fn endpoint(&self) -> &Arc<Endpoint> {
        &self.endpoint
    }

    /// `start` notes that the request is about to be written; `objective` is that of its route.
    pub(crate) fn start(&mut self, fingerprint: Fingerprint, objective: Duration) {
        if self.started.is_none() {
            self.started = Some(Instant::now());
            self.endpoint.start(self.ticket, fingerprint, objective);
            if !self.repeated {
                self.endpoint.count_first();
            }
        }
    }

    /// `answered` notes the headers of an answer with this status. The age of the request counts
    /// up to here, because a slow reader must not make the backend server look slow.
    pub(crate) fn answered(&mut self, status: u16) {
        let latency = self.started.map_or(Duration::ZERO, |s| s.elapsed());
        let evidence = match status {
            503 => Evidence::Shed,
            500..=599 => Evidence::Failed,
            _ => Evidence::Served(latency),
        };
        if matches!(evidence, Evidence::Served(_)) {
            self.served = Some(latency);
        }
        self.observe(evidence);
    }

    /// `shed` notes an answer that says that the request was not run.
    pub(crate) fn shed(&mut self) {
        self.observe(Evidence::Shed);
    }

    /// `broken` notes that the connection broke before the answer was complete.
    pub(crate) fn broken(&mut self) {
        self.served = None;
        if self.observed {
            self.endpoint.broke_off(self.ticket);
        } else {
            self.observe(Evidence::Reset);
        }
    }

    fn end(&self) -> End {
        match (self.served, self.started) {
            (Some(latency), _) => End::Served(latency),
            (None, Some(started)) if !self.observed => End::GivenUp(started.elapsed()),
            _ => End::Failed,
        }
    }

    fn observe(&mut self, evidence: Evidence) {
        if self.started.is_some() && !self.observed {
            self.observed = true;
            let age = self.started.map_or(Duration::ZERO, |s| s.elapsed());
            self.endpoint.observe(self.ticket, evidence, age);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let end = self.end();
        self.observe(Evidence::Abandoned);
        self.endpoint.finish(self.ticket, end);
    }
}

/// `Running` holds the slot and the connection of an answer that is being read.
///
/// Dropped before the end, it closes the connection, which cancels the request.
#[derive(Debug)]
pub struct Running {
    slot: Slot,
    connection: Option<Connection>,
    place: Option<QuarantinePermit>,
}

impl Running {
    /// `new` guards an answer on `connection`.
    pub(crate) fn new(slot: Slot, connection: Connection, place: Option<QuarantinePermit>) -> Self {
        Self {
            slot,
            connection: Some(connection),
            place,
        }
    }

    /// `finished` frees the slot and keeps the connection for another request.
    pub fn finished(mut self) {
        if let Some(connection) = self.connection.take() {
            self.slot.endpoint().pool.put_back(connection);
        }
        let endpoint = self.slot.endpoint();
        if let Some(place) = &self.place
            && self.slot.served.is_some()
            && endpoint.is_up()
        {
            place.record_answer(endpoint.now());
        }
    }

    /// `broken` notes that the backend server broke the answer off.
    pub fn broken(mut self) {
        self.slot.broken();
    }
}
