//! Requests that crash every backend server that runs them, sent again and again, beside a popular
//! request that is in flight at the crashes.

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

const REQUESTS: u64 = 20;
// The crashing requests start when the popular one has been answered.
const START: Micros = 5 * SECOND;
const END: Micros = START + 120 * SECOND;
// A crashing request brings its server down after this time; the server is back after five
// seconds.
const CRASH_AFTER: Micros = 20 * MS;
const RESTART: Micros = 5 * SECOND;
// From caller to node and back.
const CALLER: Micros = 16 * MS;
// From a gate through keepers to every node, also across regions.
const SPREAD: Micros = 120 * MS;
const ATTEMPTS: u8 = 3;

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
    Crashed {
        request: u64,
        entry: usize,
        attempt: u8,
        crash: CrashId,
    },
    Spread {
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
    /// With the quarantine, but answers do not clear crashes.
    NoClearing,
    Shallothill,
}

struct World {
    events: EventQueue<Event>,
    rng: SmallRng,
    /// One quarantine for each node; nodes 0 to 5 are the entry nodes. `None` is the naive version.
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

impl World {
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
        for request in 0..REQUESTS {
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
                    // The caller, or its balancer, takes another node each time.
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
                Event::Crashed {
                    request,
                    entry,
                    attempt,
                    crash,
                } => {
                    self.heard(entry_node(entry), request, crash);
                    self.leave(entry_node(entry), request);
                    self.failed(request, entry, attempt);
                }
                Event::Spread { request, crash } => {
                    for node in 0..DATA_CENTRES + SERVERS {
                        self.heard(node, request, crash);
                    }
                }
                Event::Popular => self.popular(),
                Event::PopularDone { server, copy } => self.popular_done(server, copy),
            }
        }
        self
    }

    fn attempt(&mut self, request: u64, entry: usize, attempt: u8) {
        let now = self.events.now();
        let up: Vec<usize> = (0..SERVERS).filter(|s| self.up_at[*s] <= now).collect();
        if up.is_empty() || !self.enter(entry_node(entry), request) {
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
        if self.up_at[server] > now || !self.enter(gate_node(server), request) {
            self.leave(entry_node(entry), request);
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
        self.leave(gate_node(server), request);
        if self.up_at[server] > now {
            // Another request brought the server down first, so this one is not known to crash.
            self.leave(entry_node(entry), request);
            return self.failed(request, entry, attempt);
        }
        self.up_at[server] = now + RESTART;
        let crash = CrashId {
            endpoint: EndpointKey(server as u64),
            crash: now,
        };
        self.crashes.entry(request).or_default().insert(crash);
        self.popular_crashed(server, crash);
        self.heard(gate_node(server), request, crash);
        self.events
            .schedule_after(SPREAD, Event::Spread { request, crash });
        let delay = one_way(entry, deployment::data_centre_of(server));
        let event = Event::Crashed {
            request,
            entry,
            attempt,
            crash,
        };
        self.events.schedule_after(delay, event);
    }

    fn failed(&mut self, request: u64, entry: usize, attempt: u8) {
        if attempt < ATTEMPTS {
            return self.attempt(request, entry, attempt + 1);
        }
        self.resend(request, entry, None);
    }

    // Ours withholds a failure or refusal by what the entry node and the refusing gate know, so
    // that other nodes hear of the crash before the caller resends.
    fn resend(&mut self, request: u64, entry: usize, gate: Option<usize>) {
        let now = millis(self.events.now());
        let deciding = [Some(entry_node(entry)), gate.map(gate_node)];
        let hold = self.nodes.as_ref().and_then(|nodes| {
            let known = deciding.iter().flatten();
            known
                .map(|n| nodes[*n].withhold_time(now, Fingerprint(request)))
                .max()
        });
        let wait = hold.unwrap_or_default().as_micros() as Micros + CALLER;
        self.events.schedule_after(wait, Event::Send { request });
    }

    fn enter(&mut self, node: usize, request: u64) -> bool {
        let entrance = self.entrance(node, request);
        matches!(
            entrance,
            QuarantineDecision::Unrestricted | QuarantineDecision::Exclusive
        )
    }

    fn entrance(&mut self, node: usize, request: u64) -> QuarantineDecision {
        let now = millis(self.events.now());
        match &mut self.nodes {
            Some(nodes) => nodes[node].admit(now, Fingerprint(request)),
            None => QuarantineDecision::Unrestricted,
        }
    }

    fn leave(&mut self, node: usize, request: u64) {
        if let Some(nodes) = &mut self.nodes {
            nodes[node].release_exclusive(Fingerprint(request));
        }
    }

    fn heard(&mut self, node: usize, request: u64, crash: CrashId) {
        let now = self.events.now();
        if let Some(nodes) = &mut self.nodes {
            let age = std::time::Duration::from_micros(now.saturating_sub(crash.crash));
            nodes[node].record_crash(millis(now), Fingerprint(request), crash, age);
        }
    }

    fn most(&self) -> usize {
        self.crashes.values().map(BTreeSet::len).max().unwrap_or(0)
    }

    fn total(&self) -> usize {
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
    let title = format!("crashes: {REQUESTS} crashing requests sent again for 120 s, 12 servers");
    let mut table = Table::new(title, &columns);
    let mut row = |version: &str, w: &World| {
        table.row(vec![
            version.to_owned(),
            w.total().to_string(),
            w.most().to_string(),
            w.sends.to_string(),
            w.refused.to_string(),
            w.bystanders.sent.to_string(),
            w.bystanders.refused.to_string(),
            w.bystanders.lost.to_string(),
            w.bystanders.no_server.to_string(),
        ]);
    };
    let naive = World::new(seed, Version::Naive).run();
    let no_clearing = World::new(seed, Version::NoClearing).run();
    let ours = World::new(seed, Version::Shallothill).run();
    row("naive", &naive);
    row("without clearing", &no_clearing);
    row("ours", &ours);
    report.tables.push(table);
    report.bound(
        "crashes: at most two crashes by one request, however often it is sent",
        format!("{}, naive {}", ours.most(), naive.most()),
        ours.most() <= 2,
    );
    let (before, after) = (no_clearing.bystanders.refused, ours.bystanders.refused);
    report.bound(
        "crashes: at most a quarter of the bystanders refused that are refused without clearing",
        format!("{after}, without clearing {before}"),
        after * 4 <= before,
    );
    Ok(())
}
