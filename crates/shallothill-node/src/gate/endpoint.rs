//! A registered backend server and its state at the gate.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use shallothill_core::hash;
use shallothill_core::hash::Fingerprint;
use shallothill_core::health::ServingState;
use shallothill_core::ids::EndpointId;
use shallothill_core::time::Millis;
use shallothill_directory::ReleaseRequest;
use shallothill_policy::admit;
use shallothill_policy::admit::{
    Admission, CallerKey, GateOptions, GateRequest, QueueDecision, RequestKind, SlotOutcome, Ticket,
};
use shallothill_policy::detect::{DetectOptions, Evidence};
use shallothill_policy::eject::EndpointHealth;
use shallothill_policy::gray;
use shallothill_policy::gray::{GrayOptions, Observation};
use shallothill_policy::pick::ReportedLoad;
use shallothill_policy::retry::GateRetryBudget;
use shallothill_runtime::timer::Timer;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::attempt::RequestHead;
use crate::gate::ConnectionPool;
use crate::gate::queued_request;
use crate::gate::queued_request::QueuedRequest;
use crate::gate::slot::Slot;
use crate::gate::start_time::AnnouncementOrder;
use crate::refusal::Refusal;
use crate::reply_by::ReplyBy;

/// `Inner` is the mutable state of an endpoint; its lock is never held across an await point.
#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) gate: admit::Gate,
    pub(crate) health: EndpointHealth,
    pub(crate) gray: gray::EpisodeEstimator,
    /// This endpoint's part of the service's retry budget; `None` when gates do not bound retries.
    pub(crate) retry_allowance: Option<GateRetryBudget>,
    /// Ejection leases to release at the keepers; the watchdog sends these requests.
    pub(crate) pending_releases: Vec<ReleaseRequest>,
    /// When a service summary was last requested.
    pub(crate) summary_requested_at: Millis,
    pub(crate) up: bool,
    pub(crate) expires_at: Millis,
    pub(crate) announced_slots: u16,
    /// The order of the last announcement.
    pub(crate) order: AnnouncementOrder,
    pub(crate) waiters: HashMap<Ticket, oneshot::Sender<Result<(), admit::Refusal>>>,
    running: HashMap<Ticket, Fingerprint>,
}

/// `EndpointInit` contains the initial values of an endpoint.
#[derive(Debug)]
pub(crate) struct EndpointInit {
    pub(crate) id: EndpointId,
    pub(crate) crash_number: u64,
    pub(crate) gate: admit::Gate,
    pub(crate) health: EndpointHealth,
    pub(crate) gray: GrayOptions,
    pub(crate) expires_at: Millis,
    pub(crate) announced_slots: u16,
    pub(crate) order: AnnouncementOrder,
}

/// `Endpoint` is one incarnation of a backend server, from its first announcement to its departure
/// or crash.
#[derive(Debug)]
pub struct Endpoint {
    pub(crate) id: EndpointId,
    pub(crate) pool: ConnectionPool,
    /// Identifies the crash that may end this incarnation; unique across restarts of the node.
    pub(crate) crash_number: u64,
    timer: Timer,
    inner: Mutex<Inner>,
}

impl Endpoint {
    /// `new` builds an endpoint that has not crashed.
    pub(crate) fn new(init: EndpointInit, pool: ConnectionPool, timer: Timer) -> Self {
        Self {
            id: init.id,
            pool,
            crash_number: init.crash_number,
            timer,
            inner: Mutex::new(Inner {
                gate: init.gate,
                health: init.health,
                gray: gray::EpisodeEstimator::new(init.gray),
                retry_allowance: None,
                pending_releases: Vec::new(),
                summary_requested_at: Millis(0),
                up: true,
                expires_at: init.expires_at,
                announced_slots: init.announced_slots,
                order: init.order,
                waiters: HashMap::new(),
                running: HashMap::new(),
            }),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// `now` returns the monotonic time of the timer service.
    pub(crate) fn now(&self) -> Millis {
        self.timer.now()
    }

    /// `id` returns the service, node and name that identify the endpoint.
    pub fn id(&self) -> &EndpointId {
        &self.id
    }

    /// `address` returns the address that the backend server listens on.
    pub fn address(&self) -> SocketAddr {
        self.pool.address()
    }

    /// `reported_load` returns the load that replies carry in the load header.
    pub fn reported_load(&self) -> ReportedLoad {
        self.lock().gate.load()
    }

    /// `reported_state` returns the state that is reported to other nodes, or `None` after a crash.
    pub fn reported_state(&self) -> Option<ServingState> {
        let inner = self.lock();
        inner.up.then(|| inner.gate.state())
    }

    /// `is_unhealthy` tells whether the backend server is ejected, or would be if it held an
    /// ejection lease.
    pub fn is_unhealthy(&self) -> bool {
        self.lock().health.is_unhealthy()
    }

    /// `drain` refuses all new and queued requests; running ones continue.
    pub(crate) fn drain(&self) {
        let mut inner = self.lock();
        inner.gate.drain();
        inner.notify_waiters(self.now());
    }

    /// `stop_at` refuses requests that can't be answered by `at`, when the node stops.
    pub(crate) fn stop_at(&self, at: Millis) {
        let now = self.now();
        let mut inner = self.lock();
        inner.gate.stop_at(now, at);
        inner.notify_waiters(now);
    }

    /// `set_options` applies a changed configuration.
    pub(crate) fn set_options(&self, gate: GateOptions, detect: DetectOptions, gray: GrayOptions) {
        let mut inner = self.lock();
        inner.gray.set_options(gray);
        inner.gate.set_options(gate);
        inner.health.detector_mut().set_options(detect);
        inner.notify_waiters(self.now());
    }

    /// `mark_crashed` ends this incarnation; returns the fingerprints of the requests that were
    /// running, or `None` when the endpoint was already marked.
    pub(crate) fn mark_crashed(&self) -> Option<Vec<Fingerprint>> {
        let mut inner = self.lock();
        if !inner.up {
            return None;
        }
        inner.up = false;
        inner.gate.drain();
        inner.notify_waiters(self.now());
        let mut running: Vec<Fingerprint> = inner.running.values().copied().collect();
        running.sort_unstable();
        running.dedup();
        Some(running)
    }

    /// `is_up` tells whether no crash of this incarnation is known.
    pub(crate) fn is_up(&self) -> bool {
        self.lock().up
    }

    /// `admit` waits for a slot until the deadline of the request. `trial` marks a request that
    /// tests an ejected backend server. A request that cannot be answered until `reply_by` is
    /// refused.
    ///
    /// Fails with a refusal of outcome `RefusedNotRun`.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        head: &RequestHead,
        trial: bool,
        reply_by: &ReplyBy,
    ) -> Result<Slot, Refusal> {
        let now = self.now();
        let now_instant = Instant::now();
        let deadline = head.deadline;
        let to_millis = |instant: Instant| now + instant.saturating_duration_since(now_instant);
        let req = GateRequest {
            kind: RequestKind(hash::hash64(head.route.as_str().as_bytes())),
            class: head.class,
            deadline: to_millis(deadline),
            reply_by: reply_by.get().map(to_millis),
            objective: head.objective.map(to_millis),
            rank: head.rank,
            spent: head.call.map(|c| c.spent),
            caller: head
                .caller
                .as_ref()
                .map(|c| CallerKey(hash::hash64(c.as_str().as_bytes()))),
            trial,
        };
        let (ticket, rx) = {
            let mut inner = self.lock();
            if !inner.up {
                return Err(BACKEND_DOWN);
            }
            let admission = inner.gate.admit(now, req);
            match admission {
                Admission::Run(ticket) => return Ok(Slot::new(Arc::clone(self), ticket)),
                Admission::Refused {
                    reason,
                    retry_after,
                } => return Err(queued_request::admission_refusal(reason, retry_after)),
                Admission::Queued(ticket) => {
                    let (tx, rx) = oneshot::channel();
                    inner.waiters.insert(ticket, tx);
                    // The new request may have displaced an internal one from the queue.
                    inner.notify_waiters(now);
                    (ticket, rx)
                }
            }
        };
        QueuedRequest::new(Arc::clone(self), ticket)
            .wait(rx, deadline, reply_by, head.rank)
            .await
    }

    /// `limit_reply` refuses the queued request of `ticket` unless it can be answered until
    /// `reply_by`.
    pub(crate) fn limit_reply(&self, ticket: Ticket, reply_by: Instant) {
        let now = self.now();
        let reply_by = now + reply_by.saturating_duration_since(Instant::now());
        let mut inner = self.lock();
        inner.gate.limit_reply(now, ticket, reply_by);
        inner.notify_waiters(now);
    }

    /// `record_start` records that the request of `ticket` is about to be written; `objective` is
    /// the latency objective of its route, or zero if there is none.
    pub(crate) fn record_start(
        &self,
        ticket: Ticket,
        fingerprint: Fingerprint,
        objective: Duration,
    ) {
        let now = self.now();
        let mut inner = self.lock();
        inner.running.insert(ticket, fingerprint);
        inner.health.record_start(now, ticket, objective);
    }

    /// `record_evidence` feeds the evidence of a request that started `age` ago into the estimates
    /// of health and gray failure.
    pub(crate) fn record_evidence(&self, ticket: Ticket, evidence: Evidence, age: Duration) {
        let now = self.now();
        let mut inner = self.lock();
        let mean_latency = inner.gate.mean_latency();
        match evidence {
            Evidence::Served(_) => inner
                .gray
                .observe(now, Observation::Served(age), mean_latency),
            Evidence::Failed | Evidence::Reset => {
                inner
                    .gray
                    .observe(now, Observation::Failed(age), mean_latency);
            }
            Evidence::Shed | Evidence::Abandoned => {}
        }
        let failed = matches!(evidence, Evidence::Failed | Evidence::Reset);
        // Ejection lasts longer after each flap, which would exceed gray failures of a few seconds.
        // Where gray failures are estimated, failures therefore do not count towards ejection.
        let health_evidence = if failed && inner.gray.is_enabled() {
            Evidence::Shed
        } else {
            evidence
        };
        let release = inner.health.record_end(now, ticket, health_evidence);
        inner.pending_releases.extend(release);
        inner.apply_health(now);
    }

    /// `record_truncation` records that a response was truncated after its headers.
    pub(crate) fn record_truncation(&self, ticket: Ticket) {
        self.lock()
            .health
            .record_start(self.now(), ticket, Duration::ZERO);
        self.record_evidence(ticket, Evidence::Reset, Duration::MAX / 16);
    }

    /// `release_slot` frees the slot of `ticket`; `end` says how its request ended.
    pub(crate) fn release_slot(&self, ticket: Ticket, end: SlotOutcome) {
        let now = self.now();
        let mut inner = self.lock();
        inner.running.remove(&ticket);
        inner.gate.finish(now, ticket, end);
        inner.notify_waiters(now);
    }
}

impl Inner {
    /// `is_unproven` tells whether the backend server takes requests, but too little has been served
    /// lately for requests that must run at most once.
    pub(crate) fn is_unproven(&self, now: Millis) -> bool {
        let takes_requests = matches!(self.gate.state(), ServingState::Ready | ServingState::Cold);
        takes_requests && !self.gate.is_stopping() && self.gray.is_unproven(now)
    }

    /// `apply_health` sets the state and the trial slots of the admission gate from the health.
    pub(crate) fn apply_health(&mut self, now: Millis) {
        let state = self.health.state(now);
        let trials = self.health.trial_slots(now);
        self.gate.set_state(state, trials);
        self.notify_waiters(now);
    }

    /// `notify_waiters` passes the decisions of the admission gate to the queued requests.
    pub(crate) fn notify_waiters(&mut self, now: Millis) {
        while let Some(start) = self.gate.poll(now) {
            match start {
                QueueDecision::Run(ticket) => {
                    let waiter = self.waiters.remove(&ticket);
                    if waiter.is_none_or(|tx| tx.send(Ok(())).is_err()) {
                        self.gate.finish(now, ticket, SlotOutcome::Failed);
                    }
                }
                QueueDecision::Refused(ticket, reason) => {
                    if let Some(tx) = self.waiters.remove(&ticket) {
                        let _ = tx.send(Err(reason));
                    }
                }
            }
        }
    }
}

/// `BACKEND_DOWN` refuses requests for a backend server that has not announced itself since it
/// crashed.
pub(crate) const BACKEND_DOWN: Refusal = Refusal::not_run(
    "backend-down",
    "the backend server does not listen; send the request again",
);
