//! The path of a request through entry node, gate and backend server.

use std::time::Duration;

use rand::Rng;
use shallothill_core::health::ServingState;
use shallothill_core::outcome::Outcome;
use shallothill_policy::admit::{
    Admission, GateRequest, QueueDecision, RequestKind, SlotOutcome, Ticket,
};
use shallothill_policy::detect::Evidence;
use shallothill_policy::pick::{PickRequest, Tier};
use shallothill_policy::retry::{Attempts, NextStep};

use crate::deployment;
use crate::sim::ours::{Event, Ours, PATH_TIMEOUT, RESEND_AFTER, Reply, Request};
use crate::sim::server::Run;
use crate::sim::workload::Call;
use crate::sim::{Micros, SECOND, millis, one_way};

/// Bytes of a request and its answer.
const BYTES: u64 = 4500;

impl Ours {
    pub(super) fn arrive(&mut self, call: Call) {
        let now = self.events.now();
        self.totals.offer(now, &call);
        self.next_request += 1;
        let req = self.next_request;
        let deadline = now + self.plan.workload.deadline;
        let request = Request {
            call,
            deadline,
            attempts: Attempts::new(call.idempotent, millis(deadline)),
            place: None,
            in_flight: None,
        };
        self.requests.insert(req, request);
        let wait = self.plan.workload.deadline;
        self.events.after(wait, Event::Deadline { req });
        self.attempt(req);
    }

    fn attempt(&mut self, req: u64) {
        let now = self.events.now();
        let Some(request) = self.requests.get_mut(&req) else {
            return;
        };
        let entry = &self.entries[request.call.dc];
        let wanted = PickRequest {
            idempotent: request.call.idempotent,
            avoid: request.attempts.used_endpoints(),
            cross_region_bytes_per_s: None,
        };
        let table = entry.tables.service(&self.service);
        let picked = table.and_then(|t| t.pick(millis(now), &mut self.rng, &wanted));
        let Some(picked) = picked else {
            return self.conclude(req, Outcome::RefusedNotRun);
        };
        let key = picked.endpoint.key;
        let cross = picked.tier == Tier::OtherRegion;
        let Some(server) = self
            .hosts
            .iter()
            .position(|h| h.id == picked.endpoint.info.id)
        else {
            return;
        };
        request.in_flight = Some(picked.endpoint.stats.start_request());
        request.place = Some((server, None));
        request
            .attempts
            .record_start(key, &self.retry, &entry.budget);
        let attempt = request.attempts.sent_count();
        let dc = request.call.dc;
        if cross {
            self.totals.cross(now, BYTES);
        }
        *self.totals.attempts.entry(now / SECOND).or_default() += 1;
        let to = deployment::data_centre_of(server);
        if !self.is_cut(dc, to) {
            let event = Event::AtGate {
                req,
                attempt,
                server,
            };
            self.events.after(one_way(dc, to), event);
        }
        let event = Event::PathCheck {
            req,
            attempt,
            server,
        };
        self.events.after(PATH_TIMEOUT, event);
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let now = self.events.now();
        self.plan.faults.iter().any(|f| f.cuts(from, to, now))
    }

    pub(super) fn at_gate(&mut self, req: u64, attempt: u8, server: usize) {
        let now = self.events.now();
        let Some(request) = self.requests.get_mut(&req) else {
            return;
        };
        let trial = self.hosts[server].gate.state() == ServingState::Ejected;
        let offer = GateRequest {
            kind: RequestKind(u64::from(request.call.class.is_internal())),
            class: request.call.class,
            deadline: millis(request.deadline),
            objective: None,
            rank: 0,
            trial: trial && request.call.idempotent,
        };
        let host = &mut self.hosts[server];
        if !host.up {
            return self.send_reply(server, req, attempt, Outcome::RefusedNotRun);
        }
        match host.gate.admit(millis(now), offer) {
            Admission::Run(ticket) => {
                host.runs.insert(ticket, (req, attempt));
                self.start(server, ticket);
            }
            Admission::Queued(ticket) => {
                host.runs.insert(ticket, (req, attempt));
                request.place = Some((server, Some(ticket)));
            }
            Admission::Refused { .. } => {
                self.send_reply(server, req, attempt, Outcome::RefusedNotRun);
            }
        }
        self.pump(server);
    }

    fn start(&mut self, server: usize, ticket: Ticket) {
        let now = self.events.now();
        let Some((req, attempt)) = self.hosts[server].runs.get(&ticket).copied() else {
            return;
        };
        let Some(request) = self.requests.get_mut(&req) else {
            self.free(server, ticket, None);
            return;
        };
        request.place = Some((server, Some(ticket)));
        let call = request.call;
        if !call.idempotent && !self.claimed.insert(call.key) {
            // The ledger knows the key: the stored answer, or unknown while it may run.
            self.free(server, ticket, None);
            let outcome = if self.stored.contains(&call.key) {
                Outcome::Answered
            } else {
                Outcome::Unknown
            };
            return self.send_reply(server, req, attempt, outcome);
        }
        self.totals.run(&call);
        let host = &mut self.hosts[server];
        if let Some(drained) = host.drained_at {
            self.totals.after_drain.push(now - drained);
        }
        host.health
            .record_start(millis(now), ticket, Duration::ZERO);
        let run = host.server.run(now, &self.plan.faults, &mut self.rng);
        if let Run::Served(took) | Run::Failed(took) = run {
            let event = Event::Done {
                server,
                ticket,
                run,
            };
            self.events.after(took, event);
        }
    }

    pub(super) fn done(&mut self, server: usize, ticket: Ticket, run: Run) {
        let Some((req, attempt)) = self.hosts[server].runs.get(&ticket).copied() else {
            return;
        };
        let (served, evidence, outcome) = match run {
            Run::Served(took) => {
                let took = Duration::from_micros(took);
                (Some(took), Evidence::Served(took), Outcome::Answered)
            }
            _ => (None, Evidence::Failed, Outcome::RanAndFailed),
        };
        if let (Some(request), Some(_)) = (self.requests.get(&req), served)
            && !request.call.idempotent
        {
            self.stored.insert(request.call.key);
        }
        self.observe(server, ticket, evidence);
        self.free(server, ticket, served);
        self.send_reply(server, req, attempt, outcome);
        self.pump(server);
    }

    fn observe(&mut self, server: usize, ticket: Ticket, evidence: Evidence) {
        let now = millis(self.events.now());
        let release = self.hosts[server].health.record_end(now, ticket, evidence);
        self.send_release(server, release);
        self.apply_state(server);
    }

    fn free(&mut self, server: usize, ticket: Ticket, served: Option<Duration>) {
        let now = millis(self.events.now());
        let host = &mut self.hosts[server];
        host.runs.remove(&ticket);
        host.gate.finish(
            now,
            ticket,
            served.map_or(SlotOutcome::Failed, SlotOutcome::Served),
        );
    }

    pub(super) fn pump(&mut self, server: usize) {
        let now = millis(self.events.now());
        while let Some(start) = self.hosts[server].gate.poll(now) {
            match start {
                QueueDecision::Run(ticket) => self.start(server, ticket),
                QueueDecision::Refused(ticket, _) => {
                    if let Some((req, attempt)) = self.hosts[server].runs.remove(&ticket) {
                        self.send_reply(server, req, attempt, Outcome::RefusedNotRun);
                    }
                }
            }
        }
    }

    fn send_reply(&mut self, server: usize, req: u64, attempt: u8, outcome: Outcome) {
        let Some(request) = self.requests.get(&req) else {
            return;
        };
        let (from, to) = (deployment::data_centre_of(server), request.call.dc);
        if self.is_cut(from, to) {
            return;
        }
        let reply = Reply {
            req,
            attempt,
            server,
            outcome,
            load: self.hosts[server].gate.load(),
        };
        self.events.after(one_way(from, to), Event::Reply(reply));
    }

    pub(super) fn reply(&mut self, reply: Reply) {
        let now = millis(self.events.now());
        let Some(request) = self.requests.get_mut(&reply.req) else {
            return;
        };
        if request.attempts.sent_count() != reply.attempt {
            return;
        }
        let entry = &self.entries[request.call.dc];
        let id = &self.hosts[reply.server].id;
        if let Some(table) = entry.tables.service(&self.service)
            && let Some(e) = table.endpoints().iter().find(|e| e.info.id == *id)
        {
            e.stats.record_load(now, reply.load);
            e.path.record_success();
        }
        self.attempt_ended(reply.req, reply.outcome);
    }

    fn attempt_ended(&mut self, req: u64, outcome: Outcome) {
        let now = millis(self.events.now());
        let Some(request) = self.requests.get_mut(&req) else {
            return;
        };
        request.in_flight = None;
        request.place = None;
        let budget = &self.entries[request.call.dc].budget;
        match request
            .attempts
            .on_attempt_end(now, outcome, &self.retry, budget)
        {
            NextStep::Retry => self.attempt(req),
            NextStep::Wait => {}
            NextStep::Return(outcome) => self.conclude(req, outcome),
        }
    }

    // A connection that is cut in either direction misses its pings, whatever its requests do.
    pub(super) fn path_check(&mut self, req: u64, attempt: u8, server: usize) {
        let Some(request) = self.requests.get(&req) else {
            return;
        };
        let (dc, to) = (request.call.dc, deployment::data_centre_of(server));
        let waiting = request.attempts.sent_count() == attempt && request.in_flight.is_some();
        if !waiting || !(self.is_cut(dc, to) || self.is_cut(to, dc)) {
            return;
        }
        let node = &self.hosts[server].id.node;
        if let Some(path) = self.entries[dc].tables.path(node) {
            path.record_failure(millis(self.events.now()));
        }
        self.cancel(req);
        self.attempt_ended(req, Outcome::Unknown);
    }

    // Closing the connection cancels the attempt at the gate, if that hears of it.
    fn cancel(&mut self, req: u64) {
        let Some(request) = self.requests.get(&req) else {
            return;
        };
        let Some((server, Some(ticket))) = request.place else {
            return;
        };
        if self.hosts[server].gate.cancel(ticket) {
            self.hosts[server].runs.remove(&ticket);
        } else {
            self.observe(server, ticket, Evidence::Abandoned);
            self.free(server, ticket, None);
        }
        self.pump(server);
    }

    pub(super) fn deadline(&mut self, req: u64) {
        if self.requests.contains_key(&req) {
            self.cancel(req);
            self.conclude(req, Outcome::Unknown);
        }
    }

    fn conclude(&mut self, req: u64, outcome: Outcome) {
        let Some(request) = self.requests.remove(&req) else {
            return;
        };
        let now = self.events.now();
        let mut call = request.call;
        match outcome {
            Outcome::Answered => return self.totals.complete(now, &call),
            Outcome::RefusedNotRun => self.totals.refused += 1,
            _ => {}
        }
        if call.resent < self.plan.workload.resends {
            call.resent += 1;
            // Callers resend within a spread of their wait, not all at once.
            let wait = RESEND_AFTER.as_micros() as Micros;
            let spread = self.rng.random_range(0..wait);
            self.events.after(wait + spread, Event::Send(call));
        }
    }
}
