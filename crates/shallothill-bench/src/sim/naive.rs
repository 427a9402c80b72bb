//! The naive proxy used as the baseline: round robin, ejection by probes without a floor, retries
//! regardless of idempotency, and no ledger.

use std::collections::{HashMap, VecDeque};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::deployment::{self, DATA_CENTRES, REGIONS, SERVERS};
use crate::sim::events::EventQueue;
use crate::sim::fault::{Fault, FaultKind};
use crate::sim::server::{RunOutcome, Server};
use crate::sim::totals::{Ejection, Totals};
use crate::sim::workload::{Call, RunPlan};
use crate::sim::{MS, Micros, SECOND, one_way};

// Common settings of a simple proxy: one probe a second, ejection after three failures, return
// after two successes, and three attempts of one second each. A probe takes about 25 ms.
const PROBE_INTERVAL: Micros = SECOND;
const PROBE_TIMEOUT: Micros = 250 * MS;
const FAILURES_TO_EJECT: u32 = 3;
const SUCCESSES_TO_RETURN: u32 = 2;
const MAX_ATTEMPTS: u8 = 3;
const ATTEMPT_TIMEOUT: Micros = SECOND;
const EXCHANGE_BYTES: u64 = 4500;

enum Event {
    NextCall(Call),
    Resend(Call),
    AtServer {
        req: u64,
        attempt: u8,
        server: usize,
    },
    Done {
        server: usize,
        req: u64,
        attempt: u8,
        good: bool,
    },
    Reply {
        req: u64,
        attempt: u8,
        good: bool,
    },
    AttemptTimeout {
        req: u64,
        attempt: u8,
    },
    Deadline {
        req: u64,
    },
    Probe {
        server: usize,
    },
    Drain {
        server: usize,
    },
}

struct Request {
    call: Call,
    attempts: u8,
}

struct Host {
    server: Server,
    running: u16,
    queue: VecDeque<(u64, u8, Call)>,
    failures: u32,
    successes: u32,
    ejected: bool,
    drained_at: Option<Micros>,
}

/// `NaiveSimulation` simulates a plan with the naive proxy.
pub struct NaiveSimulation {
    plan: RunPlan,
    events: EventQueue<Event>,
    rng: SmallRng,
    totals: Totals,
    hosts: Vec<Host>,
    round_robin: [usize; DATA_CENTRES],
    requests: HashMap<u64, Request>,
    next_request: u64,
    next_key: u64,
}

impl NaiveSimulation {
    /// `new` schedules the first request and the probes of all servers.
    pub fn new(plan: RunPlan) -> Self {
        let median = plan.deployment.latency.as_micros() as Micros;
        let host = |number| Host {
            server: Server { number, median },
            running: 0,
            queue: VecDeque::new(),
            failures: 0,
            successes: 0,
            ejected: false,
            drained_at: None,
        };
        let mut naive = Self {
            rng: SmallRng::seed_from_u64(plan.seed),
            events: EventQueue::default(),
            totals: Totals::default(),
            hosts: (0..SERVERS).map(host).collect(),
            round_robin: [0; DATA_CENTRES],
            requests: HashMap::new(),
            next_request: 0,
            next_key: 0,
            plan,
        };
        let (pause, call) = naive.plan.next_call(0, 0, &mut naive.rng);
        naive.events.schedule_after(pause, Event::NextCall(call));
        for server in 0..SERVERS {
            let phase = server as Micros * PROBE_INTERVAL / SERVERS as Micros;
            naive.events.schedule_after(phase, Event::Probe { server });
        }
        naive
    }

    /// `drain_at` starts draining `server` at `at`, counted from the start of the run.
    pub fn drain_at(&mut self, server: usize, at: Micros) {
        self.events.schedule_after(at, Event::Drain { server });
    }

    /// `run` processes events until the end of the plan and returns the totals.
    pub fn run(mut self) -> Totals {
        while let Some(event) = self.events.next_before(self.plan.end) {
            self.handle(event);
        }
        self.totals
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::NextCall(call) => {
                self.next_key += 1;
                let now = self.events.now();
                let (pause, next) = self.plan.next_call(now, self.next_key, &mut self.rng);
                self.events.schedule_after(pause, Event::NextCall(next));
                self.arrive(call);
            }
            Event::Resend(call) => self.arrive(call),
            Event::AtServer {
                req,
                attempt,
                server,
            } => self.arrive_at_server(req, attempt, server),
            Event::Done {
                server,
                req,
                attempt,
                good,
            } => {
                self.hosts[server].running -= 1;
                self.answer(server, req, attempt, good);
                self.start_next(server);
            }
            Event::Reply { req, attempt, good } => self.reply(req, attempt, good),
            Event::AttemptTimeout { req, attempt } => self.reply(req, attempt, false),
            Event::Deadline { req } => self.conclude(req, false),
            Event::Probe { server } => self.probe(server),
            Event::Drain { server } => {
                self.hosts[server].drained_at = Some(self.events.now());
            }
        }
    }

    fn arrive(&mut self, call: Call) {
        let now = self.events.now();
        self.totals.record_send(now, &call);
        self.next_request += 1;
        let req = self.next_request;
        self.requests.insert(req, Request { call, attempts: 0 });
        self.events
            .schedule_after(self.plan.workload.deadline, Event::Deadline { req });
        self.attempt(req);
    }

    fn attempt(&mut self, req: u64) {
        let now = self.events.now();
        let Some(request) = self.requests.get_mut(&req) else {
            return;
        };
        request.attempts += 1;
        let (attempt, dc) = (request.attempts, request.call.dc);
        let Some(server) = self.next_server(dc) else {
            return self.conclude(req, false);
        };
        *self.totals.attempts.entry(now / SECOND).or_default() += 1;
        let to = deployment::data_centre_of(server);
        if deployment::region_of(to) != deployment::region_of(dc) {
            self.totals.record_cross_region(now, EXCHANGE_BYTES);
        }
        if !self.is_cut(dc, to) {
            let event = Event::AtServer {
                req,
                attempt,
                server,
            };
            self.events.schedule_after(one_way(dc, to), event);
        }
        self.events
            .schedule_after(ATTEMPT_TIMEOUT, Event::AttemptTimeout { req, attempt });
    }

    fn next_server(&mut self, dc: usize) -> Option<usize> {
        for _ in 0..SERVERS {
            self.round_robin[dc] = (self.round_robin[dc] + 1) % SERVERS;
            if !self.hosts[self.round_robin[dc]].ejected {
                return Some(self.round_robin[dc]);
            }
        }
        None
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let now = self.events.now();
        self.plan.faults.iter().any(|f| f.cuts_link(from, to, now))
    }

    fn arrive_at_server(&mut self, req: u64, attempt: u8, server: usize) {
        let Some(call) = self.requests.get(&req).map(|r| r.call) else {
            return;
        };
        let now = self.events.now();
        let crashed = |f: &Fault| f.kind == FaultKind::Crashed && f.affects(server, now);
        if self.plan.faults.iter().any(crashed) {
            return self.answer(server, req, attempt, false);
        }
        let host = &mut self.hosts[server];
        if host.queue.len() >= self.plan.deployment.connections as usize {
            return self.answer(server, req, attempt, false);
        }
        host.queue.push_back((req, attempt, call));
        self.start_next(server);
    }

    fn start_next(&mut self, server: usize) {
        let now = self.events.now();
        while self.hosts[server].running < self.plan.deployment.slots {
            let host = &mut self.hosts[server];
            let Some((req, attempt, call)) = host.queue.pop_front() else {
                return;
            };
            host.running += 1;
            self.totals.record_start(&call);
            if let Some(drained) = host.drained_at {
                self.totals.starts_after_drain.push(now - drained);
            }
            let (took, good) = match host.server.run(now, &self.plan.faults, &mut self.rng) {
                RunOutcome::Served(took) => (took, true),
                RunOutcome::Failed(took) => (took, false),
                // The server frees the slot after its own timeout of ten seconds.
                RunOutcome::Hangs => (10 * SECOND, false),
            };
            let event = Event::Done {
                server,
                req,
                attempt,
                good,
            };
            self.events.schedule_after(took, event);
        }
    }

    fn answer(&mut self, server: usize, req: u64, attempt: u8, good: bool) {
        let Some(request) = self.requests.get(&req) else {
            return;
        };
        let (from, to) = (deployment::data_centre_of(server), request.call.dc);
        if !self.is_cut(from, to) {
            let event = Event::Reply { req, attempt, good };
            self.events.schedule_after(one_way(from, to), event);
        }
    }

    fn reply(&mut self, req: u64, attempt: u8, good: bool) {
        let Some(request) = self.requests.get(&req) else {
            return;
        };
        if good {
            return self.conclude(req, true);
        }
        if request.attempts != attempt {
            return;
        }
        if attempt < MAX_ATTEMPTS {
            self.attempt(req);
        } else {
            self.conclude(req, false);
        }
    }

    fn conclude(&mut self, req: u64, good: bool) {
        let Some(request) = self.requests.remove(&req) else {
            return;
        };
        let mut call = request.call;
        if good {
            return self.totals.record_answer(self.events.now(), &call);
        }
        if call.resent < self.plan.workload.resends {
            call.resent += 1;
            let wait = 500 * MS + self.rng.random_range(0..500 * MS);
            self.events.schedule_after(wait, Event::Resend(call));
        }
    }

    fn probe(&mut self, server: usize) {
        let now = self.events.now();
        self.events
            .schedule_after(PROBE_INTERVAL, Event::Probe { server });
        // One health checker in the first data centre decides for all data centres.
        let there = deployment::data_centre_of(server);
        let cut = self.is_cut(0, there) || self.is_cut(there, 0);
        let host = &mut self.hosts[server];
        let took = host.server.probe(now, &self.plan.faults, &mut self.rng);
        let round_trip = 2 * one_way(0, there);
        let leaving = host.drained_at.is_some();
        let good = !cut && !leaving && took.is_some_and(|t| t + round_trip <= PROBE_TIMEOUT);
        if good {
            host.successes += 1;
            host.failures = 0;
        } else {
            host.failures += 1;
            host.successes = 0;
        }
        if !host.ejected && host.failures >= FAILURES_TO_EJECT {
            host.ejected = true;
            let at = now + PROBE_TIMEOUT;
            self.totals.ejections.push(Ejection {
                server,
                at,
                ejected: true,
            });
        } else if host.ejected && host.successes >= SUCCESSES_TO_RETURN {
            host.ejected = false;
        }
        self.check_floor();
    }

    fn check_floor(&mut self) {
        let now = self.events.now();
        let gone = |i: usize| {
            let crashed = |f: &Fault| f.kind == FaultKind::Crashed && f.affects(i, now);
            self.hosts[i].drained_at.is_some() || self.plan.faults.iter().any(crashed)
        };
        let mut counts = [(0, 0); REGIONS];
        for (i, host) in self.hosts.iter().enumerate().filter(|(i, _)| !gone(*i)) {
            let region = deployment::region_of(deployment::data_centre_of(i));
            if host.ejected {
                counts[region].1 += 1;
            } else {
                counts[region].0 += 1;
            }
        }
        let floor = self.plan.deployment.floor_in_region();
        for (region, (healthy, ejected)) in counts.into_iter().enumerate() {
            self.totals
                .record_floor(now, region, healthy, ejected, floor);
        }
    }
}
