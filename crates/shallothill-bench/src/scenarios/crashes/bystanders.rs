//! A popular request that is in flight at the crashes of others.

use std::collections::BTreeMap;

use rand::Rng;
use shallothill_core::hash::Fingerprint;
use shallothill_policy::quarantine::{CrashId, QuarantineDecision};

use crate::deployment::{DATA_CENTRES, SERVERS};
use crate::scenarios::crashes::{Event, REQUESTS, SPREAD, Version, World, entry_node, gate_node};
use crate::sim::{MS, Micros, millis};

// The fingerprint of the popular request, its spacing and the time for which it runs.
const POPULAR: u64 = REQUESTS;
const POPULAR_EVERY: Micros = 10 * MS;
const POPULAR_RUNS: Micros = 300 * MS;

/// A copy of the popular request that runs; the flags tell which nodes gave it the only place.
struct Copy {
    entry: usize,
    single: [bool; 2],
}

/// `Bystanders` counts the copies of the popular request and holds those that run.
#[derive(Default)]
pub(super) struct Bystanders {
    in_flight: [BTreeMap<u64, Copy>; SERVERS],
    pub(super) sent: u64,
    pub(super) refused: u64,
    pub(super) lost: u64,
    pub(super) no_server: u64,
}

impl World {
    pub(super) fn popular(&mut self) {
        self.events.schedule_after(POPULAR_EVERY, Event::Popular);
        let now = self.events.now();
        let copy = self.bystanders.sent;
        self.bystanders.sent += 1;
        let entry = self.popular_rng.random_range(0..DATA_CENTRES);
        let up: Vec<usize> = (0..SERVERS).filter(|s| self.up_at[*s] <= now).collect();
        if up.is_empty() {
            self.bystanders.no_server += 1;
            return;
        }
        let server = up[self.popular_rng.random_range(0..up.len())];
        let mut single = [false; 2];
        for (i, node) in [entry_node(entry), gate_node(server)]
            .into_iter()
            .enumerate()
        {
            match self.entrance(node, POPULAR) {
                QuarantineDecision::Unrestricted => {}
                QuarantineDecision::Exclusive => single[i] = true,
                QuarantineDecision::Busy | QuarantineDecision::Quarantined(_) => {
                    self.bystanders.refused += 1;
                    return self.popular_leave(server, &Copy { entry, single });
                }
            }
        }
        self.bystanders.in_flight[server].insert(copy, Copy { entry, single });
        let done = Event::PopularDone { server, copy };
        self.events.schedule_after(POPULAR_RUNS, done);
    }

    fn popular_leave(&mut self, server: usize, copy: &Copy) {
        let nodes = [entry_node(copy.entry), gate_node(server)];
        for (node, single) in nodes.into_iter().zip(copy.single) {
            if single {
                self.leave(node, POPULAR);
            }
        }
    }

    pub(super) fn popular_done(&mut self, server: usize, copy: u64) {
        let Some(copy) = self.bystanders.in_flight[server].remove(&copy) else {
            return;
        };
        self.popular_leave(server, &copy);
        let now = millis(self.events.now());
        if let (Version::Shallothill, Some(nodes)) = (self.version, &mut self.nodes) {
            nodes[entry_node(copy.entry)].record_answer(now, Fingerprint(POPULAR));
            nodes[gate_node(server)].record_answer(now, Fingerprint(POPULAR));
        }
    }

    pub(super) fn popular_crashed(&mut self, server: usize, crash: CrashId) {
        let copies = std::mem::take(&mut self.bystanders.in_flight[server]);
        for copy in copies.values() {
            self.bystanders.lost += 1;
            self.heard(gate_node(server), POPULAR, crash);
            self.heard(entry_node(copy.entry), POPULAR, crash);
            self.popular_leave(server, copy);
        }
        if !copies.is_empty() {
            let request = POPULAR;
            self.events
                .schedule_after(SPREAD, Event::Spread { request, crash });
        }
    }
}
