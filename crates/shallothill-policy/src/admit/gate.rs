//! Admission control for one endpoint.

use std::collections::VecDeque;
use std::time::Duration;

use shallothill_core::health::ServingState;
use shallothill_core::time::Millis;

use crate::admit::latency::LatencyEstimates;
use crate::admit::options::{GateOptions, STOP_RESERVE};
use crate::admit::queue;
use crate::admit::queue::{Queue, WaitingRequest};
use crate::admit::request::{
    Admission, GateRequest, QueueDecision, Refusal, RequestKind, SlotOutcome, Ticket,
};
use crate::admit::retry_after;
use crate::pick::ReportedLoad;

/// `Gate` limits the load on one endpoint: concurrent requests (slots), a bounded queue that
/// honours deadlines and class priority, connections, the ramp of a cold start, draining and
/// ejection.
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
    running_trials: Vec<Ticket>,
    queue: Queue,
    displaced: VecDeque<QueueDecision>,
    last_ticket: u64,
    open_connections: u32,
    served_since_start: u32,
    latencies: LatencyEstimates,
    /// When the node of the gate stops, if it is stopping.
    stops_at: Option<Millis>,
}

impl Gate {
    /// `new` creates the gate of an endpoint that announced itself as `cold` or as ready.
    pub fn new(options: GateOptions, cold: bool) -> Self {
        Self {
            latencies: LatencyEstimates::new(options.expected_latency),
            options,
            state: ServingState::Ready,
            cold,
            draining: false,
            trial_slots: 0,
            running: Vec::new(),
            running_trials: Vec::new(),
            queue: Queue::default(),
            displaced: VecDeque::new(),
            last_ticket: 0,
            open_connections: 0,
            served_since_start: 0,
            stops_at: None,
        }
    }

    /// `admit` decides whether an arriving request runs now, waits in the queue or is refused.
    pub fn admit(&mut self, now: Millis, req: GateRequest) -> Admission {
        if self.draining {
            return self.refuse(now, req.rank, Refusal::Draining);
        }
        if self.state == ServingState::Ejected {
            return self.admit_trial(now, req);
        }
        let waiting = WaitingRequest {
            ticket: self.next_ticket(),
            deadline: req.deadline,
            reply_by: queue::earliest(req.reply_by, self.latest_answer(req.kind)),
            objective: req.objective,
            rank: req.rank,
            spent: req.spent,
            caller: req.caller,
            turn: self.queue.next_turn(req.caller),
            kind: req.kind,
            expected_duration: self.latencies.expected(req.kind),
        };
        let internal = req.class.is_internal();
        let Some(expected_duration) = self.check_end(now, internal, &waiting) else {
            return self.refuse(now, waiting.rank, waiting.late_reason());
        };
        if !internal && self.is_hopeless(now, &waiting) {
            return self.refuse(now, waiting.rank, Refusal::Overload);
        }
        self.latencies.record_admitted(now, req.kind);
        if self.has_free_slot() && self.queue.len() == 0 {
            return self.run_now(waiting.ticket, req.kind);
        }
        self.enqueue(
            now,
            internal,
            WaitingRequest {
                expected_duration,
                ..waiting
            },
        )
    }

    // Requests that were running at the time of the ejection don't count towards `trial_slots`.
    fn admit_trial(&mut self, now: Millis, req: GateRequest) -> Admission {
        if !req.trial || self.running_trials.len() >= usize::from(self.trial_slots) {
            return self.refuse(now, req.rank, Refusal::Ejected);
        }
        let ticket = self.next_ticket();
        self.running_trials.push(ticket);
        self.run_now(ticket, req.kind)
    }

    /// `finish` frees the slot of `ticket` and records how its request ended. It does nothing for a
    /// ticket that holds no slot, so a late or repeated call can't free another request's slot.
    pub fn finish(&mut self, now: Millis, ticket: Ticket, end: SlotOutcome) {
        let Some(i) = self.running.iter().position(|(t, _)| *t == ticket) else {
            return;
        };
        let (_, kind) = self.running.swap_remove(i);
        self.running_trials.retain(|t| *t != ticket);
        if let SlotOutcome::Abandoned(age) = end {
            self.latencies.record_abandoned(now, kind, age);
        }
        if let SlotOutcome::Served(latency) = end {
            self.latencies.record_served(now, kind, latency);
            self.served_since_start = self.served_since_start.saturating_add(1);
            if self.served_since_start >= self.options.cold_start_requests {
                self.cold = false;
            }
        }
    }

    /// `cancel` removes a queued request whose caller has disconnected; returns whether it was
    /// queued.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket)
    }

    /// `limit_reply` records that the node that took the request of `ticket` stops at `reply_by`. A
    /// queued request that can't be answered by then is refused, so that its caller can send it to
    /// another node; one that runs already goes on.
    pub fn limit_reply(&mut self, now: Millis, ticket: Ticket, reply_by: Millis) {
        let Some((internal, waiting)) = self.queue.find_mut(ticket) else {
            return;
        };
        waiting.reply_by = queue::earliest(waiting.reply_by, Some(reply_by));
        let waiting = *waiting;
        let left = waiting.end().saturating_since(now);
        let duration = self.latencies.expected(waiting.kind);
        if left <= self.expected_wait(now, internal, &waiting) + duration {
            self.queue.remove(ticket);
            let refused = QueueDecision::Refused(ticket, waiting.late_reason());
            self.displaced.push_back(refused);
        }
    }

    /// `stop_at` records that the node of this gate stops at `at`. From now on only requests that can
    /// be answered by then, even if they take [`STOP_RESERVE`] times as long as usual, wait or
    /// start, so that the backend server works until its node is about to end.
    pub fn stop_at(&mut self, now: Millis, at: Millis) {
        self.stops_at = Some(at);
        for (ticket, kind) in self.queue.kinds() {
            if let Some(at) = self.latest_answer(kind) {
                self.limit_reply(now, ticket, at);
            }
        }
    }

    // Returns the time by which a request of `kind` must be expected to end while the node stops: the
    // end of the node less the reserve.
    fn latest_answer(&self, kind: RequestKind) -> Option<Millis> {
        let reserve = self.latencies.expected(kind) * (STOP_RESERVE - 1);
        let reserve_ms = u64::try_from(reserve.as_millis()).unwrap_or(u64::MAX);
        let stops_at = self.stops_at?;
        Some(Millis(stops_at.0.saturating_sub(reserve_ms)))
    }

    /// `poll` returns the next decision on a queued request, or `None` while none can be decided.
    pub fn poll(&mut self, now: Millis) -> Option<QueueDecision> {
        if let Some(displaced) = self.displaced.pop_front() {
            return Some(displaced);
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
        let estimate = |kind| self.latencies.expected(kind);
        if let Some(expired) = self.queue.pop_expired(now, estimate) {
            return Some(QueueDecision::Refused(
                expired.ticket,
                expired.late_reason(),
            ));
        }
        if !self.has_free_slot() {
            return None;
        }
        let options = &self.options;
        let next =
            self.queue
                .pop_next(now, options.starts_per_internal, options.starts_per_oldest)?;
        self.running.push((next.ticket, next.kind));
        Some(QueueDecision::Run(next.ticket))
    }

    /// `drain` makes the gate refuse all new and queued requests; running requests continue.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// `set_state` applies the state that the ejector decided on; at most `trial_slots` trials run
    /// concurrently while the endpoint is ejected.
    pub fn set_state(&mut self, state: ServingState, trial_slots: u16) {
        self.state = state;
        self.trial_slots = trial_slots;
    }

    /// `set_options` applies a changed configuration. Learned latencies are kept.
    pub fn set_options(&mut self, options: GateOptions) {
        self.latencies.set_expected(options.expected_latency);
        self.options = options;
    }

    /// `open_connection` reserves a connection; returns `false` at `max_connections`.
    pub fn open_connection(&mut self) -> bool {
        let allowed = self.open_connections < self.options.max_connections;
        self.open_connections += u32::from(allowed);
        allowed
    }

    /// `close_connection` releases a connection that [`Gate::open_connection`] reserved.
    pub fn close_connection(&mut self) {
        self.open_connections = self.open_connections.saturating_sub(1);
    }

    /// `state` returns the state that is reported to other nodes; draining takes precedence over
    /// ejection, and both over a cold start.
    pub fn state(&self) -> ServingState {
        match self.state {
            _ if self.draining => ServingState::Draining,
            ServingState::Ready if self.cold => ServingState::Cold,
            state => state,
        }
    }

    /// `load` returns the current load, as sent in the load header of responses.
    pub fn load(&self) -> ReportedLoad {
        let saturate = |n: usize| u16::try_from(n).unwrap_or(u16::MAX);
        ReportedLoad {
            in_flight: saturate(self.running.len()),
            slots: self.slots(),
            queued: saturate(self.queue.len()),
            state: self.state(),
            state_valid_ms: 0,
        }
    }

    /// `mean_latency` returns the moving average of the latency of successful responses of all
    /// kinds.
    pub fn mean_latency(&self) -> Duration {
        self.latencies.mean()
    }

    /// `is_stopping` returns whether the node of the gate stops.
    pub fn is_stopping(&self) -> bool {
        self.stops_at.is_some()
    }

    /// `is_idle` returns whether no request runs or waits.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.len() == 0
    }

    /// `slots` returns the current concurrency limit; during a cold start it grows from 1 with the
    /// number of served requests.
    pub fn slots(&self) -> u16 {
        let ramp_requests = self.options.cold_start_requests;
        if !self.cold || ramp_requests == 0 {
            return self.options.slots;
        }
        let grown = u32::from(self.options.slots) * self.served_since_start / ramp_requests;
        u16::try_from(grown)
            .unwrap_or(u16::MAX)
            .clamp(1, self.options.slots)
    }

    fn has_free_slot(&self) -> bool {
        self.running.len() < usize::from(self.slots())
    }

    fn run_now(&mut self, ticket: Ticket, kind: RequestKind) -> Admission {
        self.running.push((ticket, kind));
        Admission::Run(ticket)
    }

    fn next_ticket(&mut self) -> Ticket {
        self.last_ticket += 1;
        Ticket(self.last_ticket)
    }

    fn enqueue(&mut self, now: Millis, internal: bool, waiting: WaitingRequest) -> Admission {
        let places = usize::from(self.options.queue_capacity);
        let caller_places = places - usize::from(self.options.internal_queue_reserve());
        let callers_full = !internal && self.queue.callers_len() >= caller_places;
        if callers_full || self.queue.len() >= places {
            // A more urgent caller's request displaces the least urgent one. Internal requests that
            // occupy more than their reserved places are displaced by callers' requests.
            let (shed, queued) = match (internal, callers_full) {
                (true, _) => (None, false),
                (false, true) => (self.queue.push_displacing(now, waiting), true),
                (false, false) => (self.queue.shed_internal(), false),
            };
            let Some(shed) = shed else {
                return self.refuse(now, waiting.rank, Refusal::QueueFull);
            };
            let shed = QueueDecision::Refused(shed, Refusal::Shed);
            self.displaced.push_back(shed);
            if queued {
                return Admission::Queued(waiting.ticket);
            }
        }
        let ticket = waiting.ticket;
        self.queue.push(internal, waiting);
        Admission::Queued(ticket)
    }

    // Returns the duration to assume for the request once it starts, or `None` if it can't be
    // answered before its end.
    //
    // The queueing delay depends on the latency of all kinds, the response time only on that of its
    // own kind. A request whose queueing delay alone exceeds the time left is always refused. The
    // estimate for the kind may be outdated, so a request that it would refuse is admitted from
    // time to time as a trial. Such a trial is assumed to take no time, so that it is not refused
    // while it waits. A request whose node stops is no trial: another node can still take it.
    fn check_end(&self, now: Millis, internal: bool, waiting: &WaitingRequest) -> Option<Duration> {
        let left = waiting.end().saturating_since(now);
        let after_wait = left.checked_sub(self.expected_wait(now, internal, waiting))?;
        if after_wait > waiting.expected_duration {
            return Some(waiting.expected_duration);
        }
        let trial_due = self.latencies.is_trial_due(now, waiting.kind);
        let worth_trying = waiting.late_reason() == Refusal::Deadline && !after_wait.is_zero();
        (worth_trying && trial_due).then_some(Duration::ZERO)
    }

    // Estimates the time until a slot is free for a request that arrives or waits, counting the
    // requests that start before it.
    fn expected_wait(&self, now: Millis, internal: bool, waiting: &WaitingRequest) -> Duration {
        if self.has_free_slot() && self.queue.len() == 0 {
            return Duration::ZERO;
        }
        let before = if internal {
            self.queue.len_without(waiting.ticket)
        } else {
            self.queue.callers_ahead_of(now, waiting.urgency(now))
        };
        let rounds = (before as f64 + 1.0) / f64::from(self.slots());
        self.latencies.mean().mul_f64(rounds)
    }

    // A new request that would miss its objective behind more urgent ones is refused at once, as long
    // as it can be served elsewhere or later, instead of waiting for its deadline.
    fn is_hopeless(&self, now: Millis, waiting: &WaitingRequest) -> bool {
        let Some(objective) = waiting.objective.filter(|_| !waiting.is_call()) else {
            return false;
        };
        // In the order of arrival no later request starts before it.
        let by_urgency = self.options.starts_per_oldest > 1;
        let wait = self.expected_wait(now, false, waiting);
        now + wait + waiting.expected_duration > objective
            && by_urgency
            && self.queue.has_more_urgent_than(waiting.rank)
    }

    fn refuse(&self, now: Millis, rank: u8, reason: Refusal) -> Admission {
        let retry_after = self.retry_after(now, rank);
        Admission::Refused {
            reason,
            retry_after,
        }
    }

    /// `retry_after` estimates when a refused request of `rank` should be sent again: once the queue
    /// has room for it.
    pub fn retry_after(&self, now: Millis, rank: u8) -> Duration {
        let rounds = (self.queue.len() as f64 + 1.0) / f64::from(self.slots());
        let drained_in = self.latencies.mean().mul_f64(rounds);
        retry_after::estimate(drained_in, rank, now.0 ^ self.last_ticket.rotate_left(32))
    }
}
