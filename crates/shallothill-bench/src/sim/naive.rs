//! The naive version: round robin, probes without a floor, blind retries, no ledger.

use std::collections::{HashMap, VecDeque};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::deployment::{self, DATA_CENTRES, REGIONS, SERVERS};
use crate::sim::events::Events;
use crate::sim::fault::{Fault, FaultKind};
use crate::sim::server::{Run, Server};
use crate::sim::totals::{Ejection, Totals};
use crate::sim::workload::{Call, Plan};
use crate::sim::{MS, Micros, SECOND, one_way};

// Usual settings of a simple proxy: a probe each second, out after three failures, back after two
// successes, three attempts of a second each. A probe takes about 25 ms.
const PROBE_EVERY: Micros = SECOND;
const PROBE_TIMEOUT: Micros = 250 * MS;
const FAILURES: u32 = 3;
const SUCCESSES: u32 = 2;
const ATTEMPTS: u8 = 3;
const ATTEMPT_TIMEOUT: Micros = SECOND;
const BYTES: u64 = 4500;

enum Event {
    Next(Call),
    Send(Call),
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

/// `Naive` runs a plan with the naive version.
pub struct Naive {
    plan: Plan,
    events: Events<Event>,
    rng: SmallRng,
    totals: Totals,
    hosts: Vec<Host>,
    turns: [usize; DATA_CENTRES],
    requests: HashMap<u64, Request>,
    next_request: u64,
    next_key: u64,
}

impl Naive {
    /// `new` prepares a run.
    pub fn new(plan: Plan) -> Self {
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
            events: Events::default(),
            totals: Totals::default(),
            hosts: (0..SERVERS).map(host).collect(),
            turns: [0; DATA_CENTRES],
            requests: HashMap::new(),
            next_request: 0,
            next_key: 0,
            plan,
        };
        let (pause, call) = naive.plan.next_call(0, 0, &mut naive.rng);
        naive.events.after(pause, Event::Next(call));
        for server in 0..SERVERS {
            let phase = server as Micros * PROBE_EVERY / SERVERS as Micros;
            naive.events.after(phase, Event::Probe { server });
        }
        naive
    }

    /// `drain_at` makes `server` leave at `at`, counted from the start.
    pub fn drain_at(&mut self, server: usize, at: Micros) {
        self.events.after(at, Event::Drain { server });
    }

    /// `run` runs to the end of the plan.
    pub fn run(mut self) -> Totals {
        while let Some(event) = self.events.next(self.plan.end) {
            self.handle(event);
        }
        self.totals
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Next(call) => {
                self.next_key += 1;
                let now = self.events.now();
                let (pause, next) = self.plan.next_call(now, self.next_key, &mut self.rng);
                self.events.after(pause, Event::Next(next));
                self.arrive(call);
            }
            Event::Send(call) => self.arrive(call),
            Event::AtServer {
                req,
                attempt,
                server,
            } => self.at_server(req, attempt, server),
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
        self.totals.offer(now, &call);
        self.next_request += 1;
        let req = self.next_request;
        self.requests.insert(req, Request { call, attempts: 0 });
        self.events
            .after(self.plan.workload.deadline, Event::Deadline { req });
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
            self.totals.cross(now, BYTES);
        }
        if !self.is_cut(dc, to) {
            let event = Event::AtServer {
                req,
                attempt,
                server,
            };
            self.events.after(one_way(dc, to), event);
        }
        self.events
            .after(ATTEMPT_TIMEOUT, Event::AttemptTimeout { req, attempt });
    }

    fn next_server(&mut self, dc: usize) -> Option<usize> {
        for _ in 0..SERVERS {
            self.turns[dc] = (self.turns[dc] + 1) % SERVERS;
            if !self.hosts[self.turns[dc]].ejected {
                return Some(self.turns[dc]);
            }
        }
        None
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let now = self.events.now();
        self.plan.faults.iter().any(|f| f.cuts(from, to, now))
    }

    fn at_server(&mut self, req: u64, attempt: u8, server: usize) {
        let Some(call) = self.requests.get(&req).map(|r| r.call) else {
            return;
        };
        let now = self.events.now();
        let crashed = |f: &Fault| f.kind == FaultKind::Crashed && f.acts(server, now);
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
            self.totals.run(&call);
            if let Some(drained) = host.drained_at {
                self.totals.after_drain.push(now - drained);
            }
            let (took, good) = match host.server.run(now, &self.plan.faults, &mut self.rng) {
                Run::Served(took) => (took, true),
                Run::Failed(took) => (took, false),
                // The server gives the slot back when its own timeout has passed.
                Run::Hangs => (10 * SECOND, false),
            };
            let event = Event::Done {
                server,
                req,
                attempt,
                good,
            };
            self.events.after(took, event);
        }
    }

    fn answer(&mut self, server: usize, req: u64, attempt: u8, good: bool) {
        let Some(request) = self.requests.get(&req) else {
            return;
        };
        let (from, to) = (deployment::data_centre_of(server), request.call.dc);
        if !self.is_cut(from, to) {
            let event = Event::Reply { req, attempt, good };
            self.events.after(one_way(from, to), event);
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
        if attempt < ATTEMPTS {
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
            return self.totals.complete(self.events.now(), &call);
        }
        if call.resent < self.plan.workload.resends {
            call.resent += 1;
            let wait = 500 * MS + self.rng.random_range(0..500 * MS);
            self.events.after(wait, Event::Send(call));
        }
    }

    fn probe(&mut self, server: usize) {
        let now = self.events.now();
        self.events.after(PROBE_EVERY, Event::Probe { server });
        // One checker in the first data centre decides for all.
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
        if !host.ejected && host.failures >= FAILURES {
            host.ejected = true;
            let at = now + PROBE_TIMEOUT;
            self.totals.ejections.push(Ejection {
                server,
                at,
                ejected: true,
            });
        } else if host.ejected && host.successes >= SUCCESSES {
            host.ejected = false;
        }
        self.check_floor();
    }

    fn check_floor(&mut self) {
        let now = self.events.now();
        let gone = |i: usize| {
            let crashed = |f: &Fault| f.kind == FaultKind::Crashed && f.acts(i, now);
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
            self.totals.floor(now, region, healthy, ejected, floor);
        }
    }
}
