//! One announced backend server at its gate.

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
use shallothill_policy::admit::{Admission, End, GateOptions, GateRequest, Kind, Start, Ticket};
use shallothill_policy::detect::{DetectOptions, Evidence};
use shallothill_policy::eject::EndpointHealth;
use shallothill_policy::gray;
use shallothill_policy::gray::{GrayOptions, Sign};
use shallothill_policy::pick::ReportedLoad;
use shallothill_policy::retry::Allowance;
use shallothill_runtime::timer::Timer;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::attempt::RequestHead;
use crate::gate::Pool;
use crate::gate::slot::Slot;
use crate::gate::waiting;
use crate::gate::waiting::Waiting;
use crate::refusal::Refusal;

/// `Inner` is the state of an endpoint; its lock is never held across an await.
#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) gate: admit::Gate,
    pub(crate) health: EndpointHealth,
    pub(crate) gray: gray::Estimate,
    /// The part in the retries of the service, where gates bound them.
    pub(crate) allowance: Option<Allowance>,
    /// Tokens to give back at the keepers; the watchdog sends them.
    pub(crate) releases: Vec<ReleaseRequest>,
    /// When a summary was last asked for.
    pub(crate) summary_asked: Millis,
    pub(crate) up: bool,
    pub(crate) announced_until: Millis,
    pub(crate) announced_slots: u16,
    /// The order of the last announcement.
    pub(crate) announced: (u64, u64),
    pub(crate) waiting: HashMap<Ticket, oneshot::Sender<Result<(), admit::Refusal>>>,
    running: HashMap<Ticket, Fingerprint>,
}

/// `Life` is what a new life of a backend server starts with.
#[derive(Debug)]
pub(crate) struct Life {
    pub(crate) id: EndpointId,
    pub(crate) crash: u64,
    pub(crate) gate: admit::Gate,
    pub(crate) health: EndpointHealth,
    pub(crate) gray: GrayOptions,
    pub(crate) announced_until: Millis,
    pub(crate) announced_slots: u16,
    pub(crate) announced: (u64, u64),
}

/// `Endpoint` is one life of a backend server: from an announcement to its end or crash.
#[derive(Debug)]
pub struct Endpoint {
    pub(crate) id: EndpointId,
    pub(crate) pool: Pool,
    /// The number of the crash that ends this life.
    pub(crate) crash: u64,
    timer: Timer,
    inner: Mutex<Inner>,
}

impl Endpoint {
    /// `new` builds an endpoint that is up.
    pub(crate) fn new(life: Life, pool: Pool, timer: Timer) -> Self {
        Self {
            id: life.id,
            pool,
            crash: life.crash,
            timer,
            inner: Mutex::new(Inner {
                gate: life.gate,
                health: life.health,
                gray: gray::Estimate::new(life.gray),
                allowance: None,
                releases: Vec::new(),
                summary_asked: Millis(0),
                up: true,
                announced_until: life.announced_until,
                announced_slots: life.announced_slots,
                announced: life.announced,
                waiting: HashMap::new(),
                running: HashMap::new(),
            }),
        }
    }

    /// `lock` gives access to the state.
    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// `now` returns the time of the process.
    pub(crate) fn now(&self) -> Millis {
        self.timer.now()
    }

    /// `id` returns the name.
    pub fn id(&self) -> &EndpointId {
        &self.id
    }

    /// `address` returns where the backend server listens.
    pub fn address(&self) -> SocketAddr {
        self.pool.address()
    }

    /// `reported_load` returns the load for the load header.
    pub fn reported_load(&self) -> ReportedLoad {
        self.lock().gate.load()
    }

    /// `reported_state` returns what others are told, or `None` after a crash.
    pub fn reported_state(&self) -> Option<ServingState> {
        let inner = self.lock();
        inner.up.then(|| inner.gate.state())
    }

    /// `is_unhealthy` tells whether the backend server is ejected, or would be under a lease.
    pub fn is_unhealthy(&self) -> bool {
        self.lock().health.is_sick()
    }

    /// `drain` refuses all new and waiting work.
    pub(crate) fn drain(&self) {
        let mut inner = self.lock();
        inner.gate.drain();
        inner.pump(self.now());
    }

    /// `set_options` takes over a changed configuration.
    pub(crate) fn set_options(&self, gate: GateOptions, detect: DetectOptions, gray: GrayOptions) {
        let mut inner = self.lock();
        inner.gray.set_options(gray);
        inner.gate.set_options(gate);
        inner.health.detector().set_options(detect);
        inner.pump(self.now());
    }

    /// `crashed` ends this life; returns the fingerprints that were running, or `None` when it
    /// had ended before.
    pub(crate) fn crashed(&self) -> Option<Vec<Fingerprint>> {
        let mut inner = self.lock();
        if !inner.up {
            return None;
        }
        inner.up = false;
        inner.gate.drain();
        inner.pump(self.now());
        let mut running: Vec<Fingerprint> = inner.running.values().copied().collect();
        running.sort_unstable();
        running.dedup();
        Some(running)
    }

    /// `is_up` tells whether this life goes on.
    pub(crate) fn is_up(&self) -> bool {
        self.lock().up
    }

    /// `admit` waits for a slot until the deadline of the request.
    ///
    /// Fails with a refusal as not run.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        head: &RequestHead,
        trial: bool,
    ) -> Result<Slot, Refusal> {
        let now = self.now();
        let clock = Instant::now();
        let deadline = head.deadline;
        let at = |instant: Instant| now + instant.saturating_duration_since(clock);
        let req = GateRequest {
            kind: Kind(hash::short(head.route.as_str().as_bytes())),
            class: head.class,
            deadline: at(deadline),
            objective: head.objective.map(at),
            rank: head.rank,
            trial,
        };
        let (ticket, rx) = {
            let mut inner = self.lock();
            if !inner.up {
                return Err(CRASHED);
            }
            let admission = inner.gate.offer(now, req);
            match admission {
                Admission::Run(ticket) => return Ok(Slot::new(Arc::clone(self), ticket)),
                Admission::Refused {
                    reason,
                    retry_after,
                } => return Err(waiting::refusal(reason, retry_after)),
                Admission::Queued(ticket) => {
                    let (tx, rx) = oneshot::channel();
                    inner.waiting.insert(ticket, tx);
                    // The arrival may have taken the place of an internal request.
                    inner.pump(now);
                    (ticket, rx)
                }
            }
        };
        Waiting::new(Arc::clone(self), ticket)
            .wait(rx, deadline)
            .await
    }

    /// `start` notes that the request of `ticket` is about to be written; `objective` is that of its
    /// route, zero without one.
    pub(crate) fn start(&self, ticket: Ticket, fingerprint: Fingerprint, objective: Duration) {
        let now = self.now();
        let mut inner = self.lock();
        inner.running.insert(ticket, fingerprint);
        inner.health.started(now, ticket, objective);
    }

    /// `observe` takes the evidence of a request that started `age` ago.
    pub(crate) fn observe(&self, ticket: Ticket, evidence: Evidence, age: Duration) {
        let now = self.now();
        let mut inner = self.lock();
        let usual = inner.gate.usual_latency();
        match evidence {
            Evidence::Served(_) => inner.gray.observe(now, Sign::Served(age), usual),
            Evidence::Failed | Evidence::Reset => {
                inner.gray.observe(now, Sign::Failed(age), usual);
            }
            Evidence::Shed | Evidence::Abandoned => {}
        }
        let failed = matches!(evidence, Evidence::Failed | Evidence::Reset);
        // Ejection waits longer after each flap, which would outlast spells of some seconds.
        let judged = if failed && inner.gray.is_on() {
            Evidence::Shed
        } else {
            evidence
        };
        let release = inner.health.finished(now, ticket, judged);
        inner.releases.extend(release);
        inner.refresh(now);
    }

    /// `broke_off` takes the evidence of an answer that broke off after its headers.
    pub(crate) fn broke_off(&self, ticket: Ticket) {
        self.lock()
            .health
            .started(self.now(), ticket, Duration::ZERO);
        self.observe(ticket, Evidence::Reset, Duration::MAX / 16);
    }

    /// `finish` frees the slot of `ticket`.
    pub(crate) fn finish(&self, ticket: Ticket, end: End) {
        let now = self.now();
        let mut inner = self.lock();
        inner.running.remove(&ticket);
        inner.gate.finish(now, ticket, end);
        inner.pump(now);
    }
}

impl Inner {
    /// `refresh` lets the gate act on the health.
    pub(crate) fn refresh(&mut self, now: Millis) {
        let state = self.health.state(now);
        let trials = self.health.trial_slots(now);
        self.gate.set_state(state, trials);
        self.pump(now);
    }

    /// `pump` tells waiting requests what becomes of them.
    pub(crate) fn pump(&mut self, now: Millis) {
        while let Some(start) = self.gate.poll(now) {
            match start {
                Start::Run(ticket) => {
                    let waiter = self.waiting.remove(&ticket);
                    if waiter.is_none_or(|tx| tx.send(Ok(())).is_err()) {
                        self.gate.finish(now, ticket, End::Failed);
                    }
                }
                Start::Refused(ticket, reason) => {
                    if let Some(tx) = self.waiting.remove(&ticket) {
                        let _ = tx.send(Err(reason));
                    }
                }
            }
        }
    }
}

/// `CRASHED` refuses requests for a backend server that has not announced itself since it crashed.
pub(crate) const CRASHED: Refusal = Refusal::not_run(
    "backend-down",
    "the backend server does not listen; send the request again",
);
