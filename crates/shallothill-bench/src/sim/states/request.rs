//! The requests of the simulation of server states, from the entry to the server and back.

use std::time::Duration;

use rand::Rng;
use shallothill_core::class::Class;
use shallothill_core::outcome::Outcome;
use shallothill_policy::admit::{
    Admission, GateRequest, QueueDecision, RequestKind, SlotOutcome, Ticket,
};
use shallothill_policy::gray::{Caution, Observation};
use shallothill_policy::pick::{InFlight, PickRequest, ReportedLoad, Tier};
use shallothill_policy::retry::{Attempts, NextStep, RefusedBy, RetryOptions};

use crate::sim;
use crate::sim::states::host::Run;
use crate::sim::states::{End, Event, StatesSimulation};
use crate::sim::{Micros, SECOND, millis};

const OBJECTIVE: Duration = Duration::from_millis(2500);
const DEADLINE: Duration = Duration::from_secs(6);

pub(super) struct Request {
    entry: usize,
    arrived: Micros,
    idempotent: bool,
    attempts: Attempts,
    caution: Caution,
    tier: Tier,
    in_flight: Option<InFlight>,
}

impl StatesSimulation {
    pub(super) fn arrive(&mut self) {
        let gap = -self.rng.random_range(1e-9..1.0f64).ln() / self.arrivals_per_s;
        self.events
            .schedule_after((gap * SECOND as f64) as Micros, Event::Arrive);
        let now = self.events.now();
        self.last_request += 1;
        let idempotent = self.rng.random_bool(self.plan.idempotent);
        let request = Request {
            entry: self.rng.random_range(0..self.entries.len()),
            arrived: now,
            idempotent,
            attempts: Attempts::new(idempotent, millis(now) + DEADLINE),
            caution: Caution::Trust,
            tier: Tier::DataCentre,
            in_flight: None,
        };
        self.totals.offered += u64::from(self.counts());
        self.requests.insert(self.last_request, request);
        self.attempt(self.last_request);
    }

    fn attempt(&mut self, req: u64) {
        let now = millis(self.events.now());
        let Some(request) = self.requests.get_mut(&req) else {
            return;
        };
        let entry = &self.entries[request.entry];
        let Some(table) = entry.tables.service(&self.service) else {
            return;
        };
        let wanted = PickRequest {
            idempotent: request.idempotent,
            avoid: request.attempts.used_endpoints(),
            cross_region_bytes_per_s: None,
        };
        let Some(picked) = table.pick(now, &mut self.rng, &wanted) else {
            self.requests.remove(&req);
            return;
        };
        request.caution = request.attempts.caution(table.endpoints().len());
        request.tier = picked.tier;
        request.in_flight = Some(picked.endpoint.stats.start_request());
        let key = picked.endpoint.key;
        let options = retry_options();
        request.attempts.record_start(key, &options, &entry.budget);
        let Some(server) = self.hosts.iter().position(|h| h.key == key) else {
            return;
        };
        let delay = sim::one_way(entry.dc, self.hosts[server].dc);
        let crossed = picked.tier == Tier::OtherRegion;
        if self.counts() {
            self.totals.arrivals += 1;
            self.totals.crossed += u64::from(crossed);
        }
        self.events
            .schedule_after(delay, Event::AtGate { req, server });
    }

    pub(super) fn at_gate(&mut self, req: u64, server: usize) {
        let now = millis(self.events.now());
        let Some(request) = self.requests.get(&req) else {
            return;
        };
        let host = &mut self.hosts[server];
        host.senders.record(now, &self.entries[request.entry].name);
        if !host.gray.admits(now, request.caution) {
            return self.send_reply(req, server, End::Suspect);
        }
        let arrived = millis(request.arrived);
        let wanted = GateRequest {
            kind: RequestKind(1),
            class: Class::Shop,
            deadline: arrived + DEADLINE,
            reply_by: None,
            objective: Some(arrived + OBJECTIVE),
            rank: 0,
            trial: false,
            caller: None,
            spent: None,
        };
        match host.gate.admit(now, wanted) {
            Admission::Run(ticket) => {
                host.attempts.insert(ticket, req);
                self.start(server, ticket);
            }
            Admission::Queued(ticket) => {
                host.attempts.insert(ticket, req);
            }
            Admission::Refused { .. } => self.send_reply(req, server, End::Full),
        }
        self.run_queue(server);
    }

    fn start(&mut self, server: usize, ticket: Ticket) {
        let run = self.hosts[server].run(&mut self.rng);
        let (Run::Served(after) | Run::Failed(after) | Run::Shed(after)) = run;
        let done = Event::Done {
            server,
            ticket,
            run,
        };
        self.events.schedule_after(after, done);
    }

    pub(super) fn finish(&mut self, server: usize, ticket: Ticket, run: Run) {
        let now = millis(self.events.now());
        let counts = self.counts();
        let host = &mut self.hosts[server];
        host.end(run);
        let usual = host.gate.mean_latency();
        let (slot, end) = match run {
            Run::Served(took) => {
                let took = Duration::from_micros(took);
                host.gray.observe(now, Observation::Served(took), usual);
                self.served[server] += if counts {
                    1.0 / f64::from(host.slots)
                } else {
                    0.0
                };
                (SlotOutcome::Served(took), End::Answered)
            }
            Run::Failed(took) => {
                let took = Duration::from_micros(took);
                host.gray.observe(now, Observation::Failed(took), usual);
                self.totals.failed += u64::from(counts);
                (SlotOutcome::Failed, End::Failed)
            }
            Run::Shed(_) => {
                self.totals.shed += u64::from(counts);
                (SlotOutcome::Failed, End::Failed)
            }
        };
        host.gate.finish(now, ticket, slot);
        if let Some(req) = host.attempts.remove(&ticket) {
            self.send_reply(req, server, end);
        }
        self.run_queue(server);
    }

    fn run_queue(&mut self, server: usize) {
        let now = millis(self.events.now());
        while let Some(next) = self.hosts[server].gate.poll(now) {
            match next {
                QueueDecision::Run(ticket) => self.start(server, ticket),
                QueueDecision::Refused(ticket, _) => {
                    if let Some(req) = self.hosts[server].attempts.remove(&ticket) {
                        self.send_reply(req, server, End::Full);
                    }
                }
            }
        }
    }

    fn send_reply(&mut self, req: u64, server: usize, end: End) {
        if self.counts() {
            self.totals.suspect += u64::from(end == End::Suspect);
            self.totals.full += u64::from(end == End::Full);
        }
        let Some(request) = self.requests.get(&req) else {
            return;
        };
        let (from, to) = (self.hosts[server].dc, self.entries[request.entry].dc);
        let load = self.hosts[server].load(millis(self.events.now()));
        let reply = Event::Reply {
            req,
            server,
            load,
            end,
        };
        self.events.schedule_after(sim::one_way(from, to), reply);
    }

    pub(super) fn reply(&mut self, req: u64, server: usize, load: ReportedLoad, end: End) {
        let counts = self.counts();
        let now = self.events.now();
        let Some(entry) = self.requests.get(&req).map(|r| r.entry) else {
            return;
        };
        self.record_load(entry, server, load);
        let Some(request) = self.requests.get_mut(&req) else {
            return;
        };
        request.in_flight = None;
        let options = retry_options();
        let by = match request.tier {
            Tier::OtherRegion => RefusedBy::OtherRegion,
            _ => RefusedBy::OwnRegion,
        };
        let attempts = &mut request.attempts;
        let budget = &self.entries[entry].budget;
        let next = match end {
            End::Answered => NextStep::Return(Outcome::Answered),
            End::Suspect | End::Full => attempts.on_refusal(millis(now), by, &options),
            End::Failed => {
                attempts.on_attempt_end(millis(now), Outcome::RanAndFailed, &options, budget)
            }
        };
        if next == NextStep::Retry {
            return self.attempt(req);
        }
        let in_time = now - request.arrived <= OBJECTIVE.as_micros() as Micros;
        let good = end == End::Answered && in_time && counts;
        self.totals.in_objective += u64::from(good);
        self.requests.remove(&req);
    }
}

fn retry_options() -> RetryOptions {
    RetryOptions {
        budget_percent: 20,
        ..RetryOptions::default()
    }
}
