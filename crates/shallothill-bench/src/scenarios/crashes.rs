//! Requests that crash every backend server that runs them and that callers keep resending, beside
//! a popular request that is in flight when the servers crash.

mod bystanders;

use std::collections::{BTreeMap, BTreeSet};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shallothill_core::hash::Fingerprint;
use shallothill_policy::pick::EndpointKey;
use shallothill_policy::quarantine::{CrashId, Quarantine, QuarantineDecision, QuarantineOptions};

use crate::deployment::{self, DATA_CENTRES, SERVERS};
use crate::report::{Report, Table};
use crate::scenarios::Result;
use crate::scenarios::crashes::bystanders::Bystanders;
use crate::sim::{EventQueue, MS, Micros, SECOND, millis, one_way};

const CRASHING_REQUESTS: u64 = 20;
// The crashing requests start after the popular one has been answered.
const START: Micros = 5 * SECOND;
const END: Micros = START + 120 * SECOND;
// A crashing request brings its server down after `CRASH_AFTER`; the server is back five seconds
// later.
const CRASH_AFTER: Micros = 20 * MS;
const RESTART_TIME: Micros = 5 * SECOND;
// Round trip between a caller and its entry node.
const CALLER_ROUND_TRIP: Micros = 16 * MS;
// Time for a crash report to get from a gate through the keepers to the nodes of all regions.
const PROPAGATION_DELAY: Micros = 120 * MS;
const MAX_ATTEMPTS: u8 = 3;

enum Event {
    Send {
        request: u64,
    },
    AtServer {
        request: u64,
        entry: usize,
        attempt: u8,
        server: usize,
    },
    Crash {
        request: u64,
        entry: usize,
        attempt: u8,
        server: usize,
    },
    FailureReturned {
        request: u64,
        entry: usize,
        attempt: u8,
        crash: CrashId,
    },
    CrashPropagated {
        request: u64,
        crash: CrashId,
    },
    Popular,
    PopularDone {
        server: usize,
        copy: u64,
    },
}

#[derive(Clone, Copy, PartialEq)]
enum Version {
    Naive,
    /// With the quarantine, but an answer does not clear the recorded crashes of a request.
    NoClearing,
    Shallothill,
}

struct CrashSimulation {
    events: EventQueue<Event>,
    rng: SmallRng,
    /// One quarantine for each node, entry nodes (0 to 5) first; `None` in the naive version.
    nodes: Option<Vec<Quarantine>>,
    version: Version,
    popular_rng: SmallRng,
    bystanders: Bystanders,
    up_at: [Micros; SERVERS],
    crashes: BTreeMap<u64, BTreeSet<CrashId>>,
    sends: u64,
    refused: u64,
}

fn entry_node(entry: usize) -> usize {
    entry
}

fn gate_node(server: usize) -> usize {
    DATA_CENTRES + server
}

impl CrashSimulation {
    fn new(seed: u64, version: Version) -> Self {
        let ours = version != Version::Naive;
        let quarantine = |_| Quarantine::new(QuarantineOptions::default());
        let mut world = Self {
            events: EventQueue::default(),
            rng: SmallRng::seed_from_u64(seed),
            nodes: ours.then(|| (0..DATA_CENTRES + SERVERS).map(quarantine).collect()),
            version,
            popular_rng: SmallRng::seed_from_u64(seed ^ 1 << 32),
            bystanders: Bystanders::default(),
            up_at: [0; SERVERS],
            crashes: BTreeMap::new(),
            sends: 0,
            refused: 0,
        };
        for request in 0..CRASHING_REQUESTS {
            let at = START + world.rng.random_range(0..SECOND);
            world.events.schedule_after(at, Event::Send { request });
        }
        world.events.schedule_after(0, Event::Popular);
        world
    }

    fn run(mut self) -> Self {
        while let Some(event) = self.events.next_before(END) {
            match event {
                Event::Send { request } => {
                    self.sends += 1;
                    // The caller, or its load balancer, picks a random entry node for each send.
                    let entry = self.rng.random_range(0..DATA_CENTRES);
                    self.attempt(request, entry, 1);
                }
                Event::AtServer {
                    request,
                    entry,
                    attempt,
                    server,
                } => {
                    self.at_server(request, entry, attempt, server);
                }
                Event::Crash {
                    request,
                    entry,
                    attempt,
                    server,
                } => {
                    self.crash(request, entry, attempt, server);
                }
                Event::FailureReturned {
                    request,
                    entry,
                    attempt,
                    crash,
                } => {
                    self.record_crash_at(entry_node(entry), request, crash);
                    self.release(entry_node(entry), request);
                    self.attempt_failed(request, entry, attempt);
                }
                Event::CrashPropagated { request, crash } => {
                    for node in 0..DATA_CENTRES + SERVERS {
                        self.record_crash_at(node, request, crash);
                    }
                }
                Event::Popular => self.send_popular(),
                Event::PopularDone { server, copy } => self.finish_popular(server, copy),
            }
        }
        self
    }

    fn attempt(&mut self, request: u64, entry: usize, attempt: u8) {
        let now = self.events.now();
        let up: Vec<usize> = (0..SERVERS).filter(|s| self.up_at[*s] <= now).collect();
        if up.is_empty() || !self.is_admitted(entry_node(entry), request) {
            self.refused += 1;
            return self.resend(request, entry, None);
        }
        let server = up[self.rng.random_range(0..up.len())];
        let delay = one_way(entry, deployment::data_centre_of(server));
        let event = Event::AtServer {
            request,
            entry,
            attempt,
            server,
        };
        self.events.schedule_after(delay, event);
    }

    fn at_server(&mut self, request: u64, entry: usize, attempt: u8, server: usize) {
        let now = self.events.now();
        if self.up_at[server] > now || !self.is_admitted(gate_node(server), request) {
            self.release(entry_node(entry), request);
            self.refused += 1;
            return self.resend(request, entry, Some(server));
        }
        let event = Event::Crash {
            request,
            entry,
            attempt,
            server,
        };
        self.events.schedule_after(CRASH_AFTER, event);
    }

    fn crash(&mut self, request: u64, entry: usize, attempt: u8, server: usize) {
        let now = self.events.now();
        self.release(gate_node(server), request);
        if self.up_at[server] > now {
            // Another request crashed the server first, so this one is not recorded as its cause.
            self.release(entry_node(entry), request);
            return self.attempt_failed(request, entry, attempt);
        }
        self.up_at[server] = now + RESTART_TIME;
        let crash = CrashId {
            endpoint: EndpointKey(server as u64),
            crash: now,
        };
        self.crashes.entry(request).or_default().insert(crash);
        self.fail_popular(server, crash);
        self.record_crash_at(gate_node(server), request, crash);
        self.events
            .schedule_after(PROPAGATION_DELAY, Event::CrashPropagated { request, crash });
        let delay = one_way(entry, deployment::data_centre_of(server));
        let event = Event::FailureReturned {
            request,
            entry,
            attempt,
            crash,
        };
        self.events.schedule_after(delay, event);
    }

    fn attempt_failed(&mut self, request: u64, entry: usize, attempt: u8) {
        if attempt < MAX_ATTEMPTS {
            return self.attempt(request, entry, attempt + 1);
        }
        self.resend(request, entry, None);
    }

    // The quarantine withholds a failure or refusal for the longer of the times that the entry node
    // and the refusing gate ask for, so that other nodes learn of the crash before the caller
    // resends.
    fn resend(&mut self, request: u64, entry: usize, gate: Option<usize>) {
        let now = millis(self.events.now());
        let deciding = [Some(entry_node(entry)), gate.map(gate_node)];
        let withheld = self.nodes.as_ref().and_then(|nodes| {
            let deciding_nodes = deciding.iter().flatten();
            deciding_nodes
                .map(|n| nodes[*n].withhold_time(now, Fingerprint(request)))
                .max()
        });
        let wait = withheld.unwrap_or_default().as_micros() as Micros + CALLER_ROUND_TRIP;
        self.events.schedule_after(wait, Event::Send { request });
    }

    fn is_admitted(&mut self, node: usize, request: u64) -> bool {
        let decision = self.admit_at(node, request);
        matches!(
            decision,
            QuarantineDecision::Unrestricted | QuarantineDecision::Exclusive
        )
    }

    fn admit_at(&mut self, node: usize, request: u64) -> QuarantineDecision {
        let now = millis(self.events.now());
        match &mut self.nodes {
            Some(nodes) => nodes[node].admit(now, Fingerprint(request)),
            None => QuarantineDecision::Unrestricted,
        }
    }

    fn release(&mut self, node: usize, request: u64) {
        if let Some(nodes) = &mut self.nodes {
            nodes[node].release_exclusive(Fingerprint(request));
        }
    }

    fn record_crash_at(&mut self, node: usize, request: u64, crash: CrashId) {
        let now = self.events.now();
        if let Some(nodes) = &mut self.nodes {
            let age = std::time::Duration::from_micros(now.saturating_sub(crash.crash));
            nodes[node].record_crash(millis(now), Fingerprint(request), crash, age);
        }
    }

    fn max_per_request(&self) -> usize {
        self.crashes.values().map(BTreeSet::len).max().unwrap_or(0)
    }

    fn total_crashes(&self) -> usize {
        self.crashes.values().map(BTreeSet::len).sum()
    }
}

pub(super) fn run(seed: u64, report: &mut Report) -> Result<()> {
    let columns = [
        "version",
        "crashes",
        "most by one request",
        "sends",
        "refused",
        "bystanders sent",
        "refused",
        "lost in crashes",
        "no server up",
    ];
    let title =
        format!("crashes: {CRASHING_REQUESTS} crashing requests sent again for 120 s, 12 servers");
    let mut table = Table::new(title, &columns);
    let mut row = |version: &str, w: &CrashSimulation| {
        table.add_row(vec![
            version.to_owned(),
            w.total_crashes().to_string(),
            w.max_per_request().to_string(),
            w.sends.to_string(),
            w.refused.to_string(),
            w.bystanders.sent.to_string(),
            w.bystanders.refused.to_string(),
            w.bystanders.lost.to_string(),
            w.bystanders.no_server.to_string(),
        ]);
    };
    let naive = CrashSimulation::new(seed, Version::Naive).run();
    let no_clearing = CrashSimulation::new(seed, Version::NoClearing).run();
    let ours = CrashSimulation::new(seed, Version::Shallothill).run();
    row("naive", &naive);
    row("without clearing", &no_clearing);
    row("ours", &ours);
    report.tables.push(table);
    report.add_bound(
        "crashes: at most two crashes by one request, however often it is sent",
        format!(
            "{}, naive {}",
            ours.max_per_request(),
            naive.max_per_request()
        ),
        ours.max_per_request() <= 2,
    );
    let (before, after) = (no_clearing.bystanders.refused, ours.bystanders.refused);
    report.add_bound(
        "crashes: at most a quarter of the bystanders refused that are refused without clearing",
        format!("{after}, without clearing {before}"),
        after * 4 <= before,
    );
    Ok(())
}
