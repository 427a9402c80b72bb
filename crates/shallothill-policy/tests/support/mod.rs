//! Load on the gates of one service, with the calls that other requests make there.

#![allow(dead_code, reason = "each test file uses a part of the fixtures")]

pub mod plans;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shallothill_core::class::Class;
use shallothill_core::time::Millis;
use shallothill_policy::admit::{
    Admission, Gate, GateOptions, GateRequest, QueueDecision, RequestKind, SlotOutcome, Ticket,
};
use shallothill_policy::backpressure::{AdmissionController, LONG_WAIT};
use shallothill_policy::pick::EndpointKey;
use shallothill_policy::retry::{
    Attempts, NextStep, RefusedBy, RetryBudget, RetryOptions, UsualLatency,
};

use plans::{Plan, Tally};

/// One way between two nodes.
const HOP_MS: u64 = 2;

/// Returns the sums over all seeds of what the callers of each kind got.
pub fn total(plan: &Plan, seeds: &[u64]) -> Vec<Tally> {
    let mut sums = vec![Tally::default(); plan.kinds.len()];
    for seed in seeds {
        let tallies = Simulation::run(plan.clone(), *seed);
        for (sum, tally) in sums.iter_mut().zip(tallies) {
            *sum += tally;
        }
    }
    sums
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(usize),
    Send(usize),
    AtGate(usize, usize),
    Done(usize, Ticket, u64),
    Reply(usize, bool),
}

#[derive(Debug)]
struct Request {
    kind: usize,
    entry: usize,
    arrived: u64,
    /// When the request came to the simulated service.
    sent: u64,
    deadline: u64,
    attempts: Attempts,
    paused: Duration,
}

pub struct Simulation {
    plan: Plan,
    rng: StdRng,
    /// When the next request of each kind arrives, in milliseconds.
    next_arrival: Vec<f64>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    number: u64,
    now: u64,
    gates: Vec<Gate>,
    tickets: BTreeMap<(usize, Ticket), usize>,
    requests: Vec<Request>,
    usual: Vec<UsualLatency>,
    /// By entry and kind.
    controllers: BTreeMap<(usize, usize), AdmissionController>,
    budget: RetryBudget,
    pub tallies: Vec<Tally>,
}

impl Simulation {
    pub fn run(plan: Plan, seed: u64) -> Vec<Tally> {
        let options = GateOptions {
            slots: plan.slots,
            queue_capacity: plan.queue,
            expected_latency: Duration::from_millis(400),
            ..GateOptions::default()
        };
        let kinds = plan.kinds.len();
        let mut simulation = Self {
            rng: StdRng::seed_from_u64(seed),
            next_arrival: vec![0.0; kinds],
            events: BinaryHeap::new(),
            number: 0,
            now: 0,
            gates: (0..plan.gates)
                .map(|_| Gate::new(options.clone(), false))
                .collect(),
            tickets: BTreeMap::new(),
            requests: Vec::new(),
            controllers: BTreeMap::new(),
            usual: vec![UsualLatency::default(); kinds],
            budget: RetryBudget::default(),
            tallies: vec![Tally::default(); kinds],
            plan,
        };
        for kind in 0..kinds {
            simulation.schedule_arrival(kind);
        }
        while let Some(Reverse((at, _, event))) = simulation.events.pop() {
            simulation.now = at;
            simulation.handle(event);
        }
        simulation.tallies
    }

    fn at(&mut self, after: u64, event: Event) {
        self.number += 1;
        let item = (self.now + after, self.number, event);
        self.events.push(Reverse(item));
    }

    fn schedule_arrival(&mut self, kind: usize) {
        let per_ms = self.plan.kinds[kind].per_s * self.plan.load / 1000.0;
        let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
        self.next_arrival[kind] += -draw.ln() / per_ms;
        let at = self.next_arrival[kind] as u64;
        if at < self.plan.run_ms {
            self.at(at - self.now, Event::Arrive(kind));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(kind) => self.arrive(kind),
            Event::Send(req) => self.send(req),
            Event::AtGate(req, gate) => self.arrive_at_gate(req, gate),
            Event::Done(gate, ticket, work) => {
                let served = SlotOutcome::Served(Duration::from_millis(work));
                self.gates[gate].finish(Millis(self.now), ticket, served);
                if let Some(req) = self.tickets.remove(&(gate, ticket)) {
                    self.at(HOP_MS, Event::Reply(req, true));
                }
                self.poll(gate);
            }
            Event::Reply(req, answered) => self.reply(req, answered),
        }
    }

    fn arrive(&mut self, kind: usize) {
        self.schedule_arrival(kind);
        let k = self.plan.kinds[kind];
        self.tallies[kind].sent += 1;
        let entry = self
            .rng
            .random_range(0..self.plan.controlling_entries.max(1));
        if let Some(controller) = self.controllers.get(&(entry, kind)) {
            let (draw, jitter) = (self.rng.random(), self.rng.random());
            let now = Millis(self.now);
            if controller.admit(now, k.rank, draw, jitter).is_err() {
                self.tallies[kind].held_back += 1;
                return;
            }
        }
        let end = self.now + k.deadline_ms;
        let sent = self.now + k.parent_work_ms.unwrap_or(0);
        let deadline = match k.parent_work_ms {
            Some(_) => end.min(sent + k.call_timeout_ms),
            None => end,
        };
        let attempts = if k.parent_work_ms.is_some() && self.plan.recognised {
            Attempts::for_call(true, Millis(deadline))
        } else {
            Attempts::new(true, Millis(deadline))
        };
        self.requests.push(Request {
            kind,
            entry,
            arrived: self.now,
            sent,
            deadline,
            attempts,
            paused: Duration::ZERO,
        });
        self.at(sent - self.now, Event::Send(self.requests.len() - 1));
    }

    fn options(&self, kind: usize) -> RetryOptions {
        RetryOptions {
            bounded_by_gates: true,
            usual_latency: self.usual[kind].get(),
            ..RetryOptions::default()
        }
    }

    // Takes the less loaded of two gates that the request has not used.
    fn pick(&mut self, req: usize) -> Option<usize> {
        let used = self.requests[req].attempts.used_endpoints();
        let unused = |g: &usize| !used.contains(&EndpointKey(*g as u64 + 1));
        let free: Vec<usize> = (0..self.gates.len()).filter(unused).collect();
        let draw = |rng: &mut StdRng| free[rng.random_range(0..free.len())];
        if free.is_empty() {
            return None;
        }
        let (a, b) = (draw(&mut self.rng), draw(&mut self.rng));
        let load = |g: usize| {
            let load = self.gates[g].load();
            load.in_flight + load.queued
        };
        Some(if load(b) < load(a) { b } else { a })
    }

    fn send(&mut self, req: usize) {
        let options = self.options(self.requests[req].kind);
        let Some(gate) = self.pick(req) else {
            let pause = self.requests[req]
                .attempts
                .call_pause(Millis(self.now), &options);
            return match pause {
                Some(pause) => self.retry_after(req, pause),
                None => self.fail(req),
            };
        };
        let key = EndpointKey(gate as u64 + 1);
        self.requests[req]
            .attempts
            .record_start(key, &options, &self.budget);
        self.at(HOP_MS, Event::AtGate(req, gate));
    }

    fn retry_after(&mut self, req: usize, pause: Duration) {
        self.requests[req].attempts.forget_refusals();
        self.requests[req].paused += pause;
        let jitter = self.rng.random_range(0.5..1.5);
        let pause = pause.mul_f64(jitter).as_millis() as u64;
        self.at(pause, Event::Send(req));
    }

    fn arrive_at_gate(&mut self, req: usize, gate: usize) {
        let (kind, r) = (self.requests[req].kind, &self.requests[req]);
        let k = self.plan.kinds[kind];
        let spent = k.parent_work_ms.filter(|_| self.plan.recognised);
        let offer = GateRequest {
            kind: RequestKind(kind as u64),
            class: Class::Editor,
            deadline: Millis(r.deadline),
            reply_by: None,
            objective: Some(Millis(r.sent + k.objective_ms)),
            rank: k.rank,
            spent: spent.map(Duration::from_millis),
            caller: None,
            trial: false,
        };
        if gate < self.plan.suspect {
            return self.at(HOP_MS, Event::Reply(req, false));
        }
        match self.gates[gate].admit(Millis(self.now), offer) {
            Admission::Run(ticket) => {
                self.tickets.insert((gate, ticket), req);
                self.start(gate, ticket);
            }
            Admission::Queued(ticket) => {
                self.tickets.insert((gate, ticket), req);
            }
            Admission::Refused { .. } => self.at(HOP_MS, Event::Reply(req, false)),
        }
        self.poll(gate);
    }

    fn start(&mut self, gate: usize, ticket: Ticket) {
        let req = self.tickets[&(gate, ticket)];
        let work = self.plan.kinds[self.requests[req].kind].work_ms;
        let work = self.rng.random_range(work / 2..work * 3 / 2);
        self.at(work, Event::Done(gate, ticket, work));
    }

    fn poll(&mut self, gate: usize) {
        while let Some(decision) = self.gates[gate].poll(Millis(self.now)) {
            match decision {
                QueueDecision::Run(ticket) => self.start(gate, ticket),
                QueueDecision::Refused(ticket, _) => {
                    if let Some(req) = self.tickets.remove(&(gate, ticket)) {
                        self.at(HOP_MS, Event::Reply(req, false));
                    }
                }
            }
        }
    }

    fn reply(&mut self, req: usize, answered: bool) {
        let r = &self.requests[req];
        let kind = r.kind;
        let k = self.plan.kinds[kind];
        if answered && self.now <= r.deadline {
            let in_time = self.now - r.arrived <= k.objective_ms;
            let took = Duration::from_millis(self.now - r.sent);
            self.usual[kind].record(took);
            self.tallies[kind].in_time += usize::from(in_time);
            self.tallies[kind].late += usize::from(!in_time);
            if r.paused >= LONG_WAIT {
                self.record_shortage(req);
            }
            return;
        }
        let options = self.options(kind);
        let attempts = &mut self.requests[req].attempts;
        match attempts.on_refusal(Millis(self.now), RefusedBy::OwnRegion, &options) {
            NextStep::Retry => self.send(req),
            NextStep::RetryAfter(pause) => self.retry_after(req, pause),
            NextStep::Wait | NextStep::Return(_) => self.fail(req),
        }
    }

    fn fail(&mut self, req: usize) {
        let kind = self.requests[req].kind;
        let worked = self.plan.kinds[kind].parent_work_ms.is_some();
        self.tallies[kind].failed_after_work += usize::from(worked);
        self.tallies[kind].refused_after_ms += self.now - self.requests[req].arrived;
        self.record_shortage(req);
    }

    fn record_shortage(&mut self, req: usize) {
        let r = &self.requests[req];
        if r.attempts.is_call() && self.plan.controlling_entries > 0 {
            let now = Millis(self.now);
            let key = (r.entry, r.kind);
            let controller = self.controllers.entry(key);
            let controller = controller.or_insert_with(|| AdmissionController::new(now));
            controller.record_shortage(now);
        }
    }
}
