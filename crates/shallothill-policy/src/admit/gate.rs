//! The state of one endpoint's gate.

use std::collections::VecDeque;
use std::time::Duration;

use shallothill_core::health::ServingState;
use shallothill_core::time::Millis;

use crate::admit::latency::Latencies;
use crate::admit::options::GateOptions;
use crate::admit::queue::{Queue, Waiting};
use crate::admit::request::{
    Admission, GateRequest, QueueDecision, Refusal, RequestKind, SlotOutcome, Ticket,
};
use crate::pick::ReportedLoad;

/// `Gate` bounds what one endpoint runs: slots, a queue bounded by deadlines, class priority,
/// connections, the cold-start ramp, drain and ejection.
///
/// After every event the owner calls [`Gate::poll`] until it returns `None`.
#[derive(Clone, Debug)]
pub struct Gate {
    options: GateOptions,
    state: ServingState,
    cold: bool,
    draining: bool,
    trial_slots: u16,
    running: Vec<(Ticket, RequestKind)>,
    trials: Vec<Ticket>,
    queue: Queue,
    settled: VecDeque<QueueDecision>,
    tickets: u64,
    connections: u32,
    served_since_start: u32,
    latencies: Latencies,
}

impl Gate {
    /// `new` builds the gate of an endpoint that announced itself `cold` or ready.
    pub fn new(options: GateOptions, cold: bool) -> Self {
        Self {
            latencies: Latencies::new(options.expected_latency),
            options,
            state: ServingState::Ready,
            cold,
            draining: false,
            trial_slots: 0,
            running: Vec::new(),
            trials: Vec::new(),
            queue: Queue::default(),
            settled: VecDeque::new(),
            tickets: 0,
            connections: 0,
            served_since_start: 0,
        }
    }

    /// `offer` decides on an arriving request.
    pub fn admit(&mut self, now: Millis, req: GateRequest) -> Admission {
        if self.draining {
            return self.refuse(Refusal::Draining);
        }
        if self.state == ServingState::Ejected {
            return self.offer_trial(req);
        }
        let waiting = Waiting {
            ticket: self.ticket(),
            deadline: req.deadline,
            objective: req.objective,
            rank: req.rank,
            kind: req.kind,
            takes: self.latencies.of(req.kind),
        };
        let Some(takes) = self.time_allowed(now, &req, &waiting) else {
            return self.refuse(Refusal::Deadline);
        };
        self.latencies.admitted(now, req.kind);
        if self.has_room() && self.queue.len() == 0 {
            return self.run(waiting.ticket, req.kind);
        }
        let internal = req.class.is_internal();
        self.enqueue(now, internal, Waiting { takes, ..waiting })
    }

    // Requests that were running when the endpoint was ejected take no place of a trial.
    fn offer_trial(&mut self, req: GateRequest) -> Admission {
        if !req.trial || self.trials.len() >= usize::from(self.trial_slots) {
            return self.refuse(Refusal::Ejected);
        }
        let ticket = self.ticket();
        self.trials.push(ticket);
        self.run(ticket, req.kind)
    }

    /// `finish` frees the slot of `ticket` after its attempt has ended. A ticket that holds no slot
    /// frees none.
    pub fn finish(&mut self, now: Millis, ticket: Ticket, end: SlotOutcome) {
        let Some(i) = self.running.iter().position(|(t, _)| *t == ticket) else {
            return;
        };
        let (_, kind) = self.running.swap_remove(i);
        self.trials.retain(|t| *t != ticket);
        if let SlotOutcome::Abandoned(age) = end {
            self.latencies.exceeded(now, kind, age);
        }
        if let SlotOutcome::Served(latency) = end {
            self.latencies.served(now, kind, latency);
            self.served_since_start = self.served_since_start.saturating_add(1);
            if self.served_since_start >= self.options.cold_start_requests {
                self.cold = false;
            }
        }
    }

    /// `cancel` withdraws a waiting request whose caller has left; returns whether it waited.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket)
    }

    /// `poll` returns what becomes of the next waiting request, if that is decided now.
    pub fn poll(&mut self, now: Millis) -> Option<QueueDecision> {
        if let Some(settled) = self.settled.pop_front() {
            return Some(settled);
        }
        if self.draining || self.state == ServingState::Ejected {
            let reason = if self.draining {
                Refusal::Draining
            } else {
                Refusal::Ejected
            };
            return self
                .queue
                .pop_any()
                .map(|w| QueueDecision::Refused(w.ticket, reason));
        }
        if let Some(hopeless) = self.queue.pop_hopeless(now) {
            return Some(QueueDecision::Refused(hopeless.ticket, Refusal::Deadline));
        }
        if !self.has_room() {
            return None;
        }
        let options = &self.options;
        let next = self
            .queue
            .next(now, options.starts_per_internal, options.starts_per_oldest)?;
        self.running.push((next.ticket, next.kind));
        Some(QueueDecision::Run(next.ticket))
    }

    /// `drain` refuses all new and waiting work from now on; running requests go on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// `set_state` takes over the decision on ejection; `trial_slots` trials may run at a time
    /// while the endpoint is ejected.
    pub fn set_state(&mut self, state: ServingState, trial_slots: u16) {
        self.state = state;
        self.trial_slots = trial_slots;
    }

    /// `set_options` takes over a changed configuration.
    pub fn set_options(&mut self, options: GateOptions) {
        self.latencies.set_expected(options.expected_latency);
        self.options = options;
    }

    /// `open_connection` reserves a connection and returns whether the bound allows it.
    pub fn open_connection(&mut self) -> bool {
        let allowed = self.connections < self.options.max_connections;
        self.connections += u32::from(allowed);
        allowed
    }

    /// `close_connection` gives a reserved connection back.
    pub fn close_connection(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// `state` returns what the gate tells others.
    pub fn state(&self) -> ServingState {
        match self.state {
            _ if self.draining => ServingState::Draining,
            ServingState::Ready if self.cold => ServingState::Cold,
            state => state,
        }
    }

    /// `load` returns the load for the load header.
    pub fn load(&self) -> ReportedLoad {
        let short = |n: usize| u16::try_from(n).unwrap_or(u16::MAX);
        ReportedLoad {
            in_flight: short(self.running.len()),
            slots: self.slots(),
            queued: short(self.queue.len()),
            state: self.state(),
        }
    }

    /// `usual_latency` returns the smoothed time of successful answers of all kinds.
    pub fn mean_latency(&self) -> Duration {
        self.latencies.mean()
    }

    /// `is_idle` tells whether nothing runs or waits.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.len() == 0
    }

    /// `slots` returns the requests that may run at a time now.
    pub fn slots(&self) -> u16 {
        let total = self.options.cold_start_requests;
        if !self.cold || total == 0 {
            return self.options.slots;
        }
        let grown = u32::from(self.options.slots) * self.served_since_start / total;
        u16::try_from(grown)
            .unwrap_or(u16::MAX)
            .clamp(1, self.options.slots)
    }

    fn has_room(&self) -> bool {
        self.running.len() < usize::from(self.slots())
    }

    fn run(&mut self, ticket: Ticket, kind: RequestKind) -> Admission {
        self.running.push((ticket, kind));
        Admission::Run(ticket)
    }

    fn ticket(&mut self) -> Ticket {
        self.tickets += 1;
        Ticket(self.tickets)
    }

    fn enqueue(&mut self, now: Millis, internal: bool, waiting: Waiting) -> Admission {
        let places = usize::from(self.options.queue_capacity);
        let for_callers = places - usize::from(self.options.internal_queue_reserve());
        let callers_full = !internal && self.queue.callers_len() >= for_callers;
        if callers_full || self.queue.len() >= places {
            // A more urgent caller takes the place of the least urgent one; internal work that
            // waits beyond its own places makes room for callers.
            let shed = match (internal, callers_full) {
                (true, _) => None,
                (false, true) => {
                    let urgency = waiting.urgency(now);
                    self.queue.shed_caller(now, urgency)
                }
                (false, false) => self.queue.shed_internal(),
            };
            let Some(shed) = shed else {
                return self.refuse(Refusal::QueueFull);
            };
            self.settled
                .push_back(QueueDecision::Refused(shed, Refusal::Shed));
        }
        let ticket = waiting.ticket;
        self.queue.push(internal, waiting);
        Admission::Queued(ticket)
    }

    // Returns the time that the request is taken to need once it starts, or `None` when it cannot be
    // answered before its deadline.
    //
    // The wait depends on what all kinds take, and the answer only on what its own kind takes. A wait
    // that is too long is certain; an estimate of the kind may be out of date and is tried at times.
    // A request that is tried counts as taking no time, so that it is not refused while it waits.
    fn time_allowed(&self, now: Millis, req: &GateRequest, waiting: &Waiting) -> Option<Duration> {
        let left = req.deadline.saturating_since(now);
        let after_wait = left.checked_sub(self.wait_ahead(now, req, waiting))?;
        if after_wait > waiting.takes {
            return Some(waiting.takes);
        }
        let worth_trying = !after_wait.is_zero() && self.latencies.wants_trial(now, req.kind);
        worth_trying.then_some(Duration::ZERO)
    }

    // The time until a slot is free for the request: those that start before it come first.
    fn wait_ahead(&self, now: Millis, req: &GateRequest, waiting: &Waiting) -> Duration {
        if self.has_room() && self.queue.len() == 0 {
            return Duration::ZERO;
        }
        let before = if req.class.is_internal() {
            self.queue.len()
        } else {
            self.queue.callers_before(now, waiting.urgency(now))
        };
        let rounds = (before as f64 + 1.0) / f64::from(self.slots());
        self.latencies.mean().mul_f64(rounds)
    }

    fn refuse(&self, reason: Refusal) -> Admission {
        let waves = (self.queue.len() as f64 + 1.0) / f64::from(self.slots());
        let wait = self.latencies.mean().mul_f64(waves);
        Admission::Refused {
            reason,
            retry_after: wait.max(Duration::from_millis(1)),
        }
    }
}
