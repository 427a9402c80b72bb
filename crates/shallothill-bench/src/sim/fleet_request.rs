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
use crate::sim::fleet::{Event, FleetSimulation, PATH_TIMEOUT, RESEND_AFTER, Reply, Request};
use crate::sim::server::RunOutcome;
use crate::sim::workload::Call;
use crate::sim::{Micros, SECOND, millis, one_way};

/// Size of a request with its answer.
const EXCHANGE_BYTES: u64 = 4500;

impl FleetSimulation {
    pub(super) fn arrive(&mut self, call: Call) {
        let now = self.events.now();
        self.totals.record_send(now, &call);
        self.next_request += 1;
        let req = self.next_request;
        let deadline = now + self.plan.workload.deadline;
        let request = Request {
            call,
            deadline,
            attempts: Attempts::new(call.idempotent, millis(deadline)),
            assignment: None,
            in_flight: None,
        };
        self.requests.insert(req, request);
        let wait = self.plan.workload.deadline;
        self.events.schedule_after(wait, Event::Deadline { req });
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
        request.assignment = Some((server, None));
        request
            .attempts
            .record_start(key, &self.retry, &entry.budget);
        let attempt = request.attempts.sent_count();
        let dc = request.call.dc;
        if cross {
            self.totals.record_cross_region(now, EXCHANGE_BYTES);
        }
        *self.totals.attempts.entry(now / SECOND).or_default() += 1;
        let to = deployment::data_centre_of(server);
        if !self.is_cut(dc, to) {
            let event = Event::AtGate {
                req,
                attempt,
                server,
            };
            self.events.schedule_after(one_way(dc, to), event);
        }
        let event = Event::PathCheck {
            req,
            attempt,
            server,
        };
        self.events.schedule_after(PATH_TIMEOUT, event);
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let now = self.events.now();
        self.plan.faults.iter().any(|f| f.cuts_link(from, to, now))
    }

    pub(super) fn arrive_at_gate(&mut self, req: u64, attempt: u8, server: usize) {
        let now = self.events.now();
        let Some(request) = self.requests.get_mut(&req) else {
            return;
        };
        let trial = self.hosts[server].gate.state() == ServingState::Ejected;
        let offer = GateRequest {
            kind: RequestKind(u64::from(request.call.class.is_internal())),
            class: request.call.class,
            deadline: millis(request.deadline),
            reply_by: None,
            objective: None,
            rank: 0,
            spent: None,
            caller: None,
            trial: trial && request.call.idempotent,
        };
        let host = &mut self.hosts[server];
        if !host.up {
            return self.send_reply(server, req, attempt, Outcome::RefusedNotRun);
        }
        match host.gate.admit(millis(now), offer) {
            Admission::Run(ticket) => {
                host.attempts_by_ticket.insert(ticket, (req, attempt));
                self.start(server, ticket);
            }
            Admission::Queued(ticket) => {
                host.attempts_by_ticket.insert(ticket, (req, attempt));
                request.assignment = Some((server, Some(ticket)));
            }
            Admission::Refused { .. } => {
                self.send_reply(server, req, attempt, Outcome::RefusedNotRun);
            }
        }
        self.run_queue(server);
    }

    fn start(&mut self, server: usize, ticket: Ticket) {
        let now = self.events.now();
        let Some((req, attempt)) = self.hosts[server].attempts_by_ticket.get(&ticket).copied()
        else {
            return;
        };
        let Some(request) = self.requests.get_mut(&req) else {
            self.release_slot(server, ticket, None);
            return;
        };
        request.assignment = Some((server, Some(ticket)));
        let call = request.call;
        if !call.idempotent && !self.claimed_keys.insert(call.key) {
            // The key is claimed already: return the stored answer, or `Unknown` while the first
            // run may still be in progress.
            self.release_slot(server, ticket, None);
            let outcome = if self.answered_keys.contains(&call.key) {
                Outcome::Answered
            } else {
                Outcome::Unknown
            };
            return self.send_reply(server, req, attempt, outcome);
        }
        self.totals.record_start(&call);
        let host = &mut self.hosts[server];
        if let Some(drained) = host.drained_at {
            self.totals.starts_after_drain.push(now - drained);
        }
        host.health
            .record_start(millis(now), ticket, Duration::ZERO);
        let run = host.server.run(now, &self.plan.faults, &mut self.rng);
        if let RunOutcome::Served(took) | RunOutcome::Failed(took) = run {
            let event = Event::Done {
                server,
                ticket,
                run,
            };
            self.events.schedule_after(took, event);
        }
    }

    pub(super) fn finish_run(&mut self, server: usize, ticket: Ticket, run: RunOutcome) {
        let Some((req, attempt)) = self.hosts[server].attempts_by_ticket.get(&ticket).copied()
        else {
            return;
        };
        let (served, evidence, outcome) = match run {
            RunOutcome::Served(took) => {
                let took = Duration::from_micros(took);
                (Some(took), Evidence::Served(took), Outcome::Answered)
            }
            _ => (None, Evidence::Failed, Outcome::RanAndFailed),
        };
        if let (Some(request), Some(_)) = (self.requests.get(&req), served)
            && !request.call.idempotent
        {
            self.answered_keys.insert(request.call.key);
        }
        self.observe(server, ticket, evidence);
        self.release_slot(server, ticket, served);
        self.send_reply(server, req, attempt, outcome);
        self.run_queue(server);
    }

    fn observe(&mut self, server: usize, ticket: Ticket, evidence: Evidence) {
        let now = millis(self.events.now());
        let release = self.hosts[server].health.record_end(now, ticket, evidence);
        self.send_release(server, release);
        self.apply_state(server);
    }

    fn release_slot(&mut self, server: usize, ticket: Ticket, served: Option<Duration>) {
        let now = millis(self.events.now());
        let host = &mut self.hosts[server];
        host.attempts_by_ticket.remove(&ticket);
        host.gate.finish(
            now,
            ticket,
            served.map_or(SlotOutcome::Failed, SlotOutcome::Served),
        );
    }

    pub(super) fn run_queue(&mut self, server: usize) {
        let now = millis(self.events.now());
        while let Some(start) = self.hosts[server].gate.poll(now) {
            match start {
                QueueDecision::Run(ticket) => self.start(server, ticket),
                QueueDecision::Refused(ticket, _) => {
                    if let Some((req, attempt)) =
                        self.hosts[server].attempts_by_ticket.remove(&ticket)
                    {
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
        self.events
            .schedule_after(one_way(from, to), Event::Reply(reply));
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
        request.assignment = None;
        let budget = &self.entries[request.call.dc].budget;
        match request
            .attempts
            .on_attempt_end(now, outcome, &self.retry, budget)
        {
            NextStep::Retry | NextStep::RetryAfter(_) => self.attempt(req),
            NextStep::Wait => {}
            NextStep::Return(outcome) => self.conclude(req, outcome),
        }
    }

    // A link that is cut in either direction loses the pings of the connection, regardless of the
    // state of its requests.
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
            let now = millis(self.events.now());
            path.record_failure(now, now);
        }
        self.cancel(req);
        self.attempt_ended(req, Outcome::Unknown);
    }

    // Cancels the attempt at the gate if it has arrived there, as closing the connection does.
    fn cancel(&mut self, req: u64) {
        let Some(request) = self.requests.get(&req) else {
            return;
        };
        let Some((server, Some(ticket))) = request.assignment else {
            return;
        };
        if self.hosts[server].gate.cancel(ticket) {
            self.hosts[server].attempts_by_ticket.remove(&ticket);
        } else {
            self.observe(server, ticket, Evidence::Abandoned);
            self.release_slot(server, ticket, None);
        }
        self.run_queue(server);
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
            Outcome::Answered => return self.totals.record_answer(now, &call),
            Outcome::RefusedNotRun => self.totals.refused += 1,
            _ => {}
        }
        if call.resent < self.plan.workload.resends {
            call.resent += 1;
            // Random jitter of up to the wait keeps callers from resending all at once.
            let wait = RESEND_AFTER.as_micros() as Micros;
            let spread = self.rng.random_range(0..wait);
            self.events
                .schedule_after(wait + spread, Event::Resend(call));
        }
    }
}
