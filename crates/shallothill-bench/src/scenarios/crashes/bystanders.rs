//! A popular, harmless request that is in flight when other requests crash its servers.

use std::collections::BTreeMap;

use rand::Rng;
use shallothill_core::hash::Fingerprint;
use shallothill_policy::quarantine::{CrashId, QuarantineDecision};

use crate::deployment::{DATA_CENTRES, SERVERS};
use crate::scenarios::crashes::{
    CRASHING_REQUESTS, CrashSimulation, Event, PROPAGATION_DELAY, Version, entry_node, gate_node,
};
use crate::sim::{MS, Micros, millis};

// Fingerprint of the popular request, the interval between its copies, and how long each runs.
const POPULAR_REQUEST: u64 = CRASHING_REQUESTS;
const POPULAR_INTERVAL: Micros = 10 * MS;
const POPULAR_DURATION: Micros = 300 * MS;

/// A running copy of the popular request; `exclusive` tells whether the entry node and the gate
/// admitted it exclusively.
struct RequestCopy {
    entry: usize,
    exclusive: [bool; 2],
}

/// `Bystanders` counts the copies of the popular request by result and tracks the running ones.
#[derive(Default)]
pub(super) struct Bystanders {
    in_flight: [BTreeMap<u64, RequestCopy>; SERVERS],
    pub(super) sent: u64,
    pub(super) refused: u64,
    pub(super) lost: u64,
    pub(super) no_server: u64,
}

impl CrashSimulation {
    pub(super) fn send_popular(&mut self) {
        self.events.schedule_after(POPULAR_INTERVAL, Event::Popular);
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
        let mut exclusive = [false; 2];
        for (i, node) in [entry_node(entry), gate_node(server)]
            .into_iter()
            .enumerate()
        {
            match self.admit_at(node, POPULAR_REQUEST) {
                QuarantineDecision::Unrestricted => {}
                QuarantineDecision::Exclusive => exclusive[i] = true,
                QuarantineDecision::Busy | QuarantineDecision::Quarantined(_) => {
                    self.bystanders.refused += 1;
                    return self.release_popular(server, &RequestCopy { entry, exclusive });
                }
            }
        }
        self.bystanders.in_flight[server].insert(copy, RequestCopy { entry, exclusive });
        let done = Event::PopularDone { server, copy };
        self.events.schedule_after(POPULAR_DURATION, done);
    }

    fn release_popular(&mut self, server: usize, copy: &RequestCopy) {
        let nodes = [entry_node(copy.entry), gate_node(server)];
        for (node, exclusive) in nodes.into_iter().zip(copy.exclusive) {
            if exclusive {
                self.release(node, POPULAR_REQUEST);
            }
        }
    }

    pub(super) fn finish_popular(&mut self, server: usize, copy: u64) {
        let Some(copy) = self.bystanders.in_flight[server].remove(&copy) else {
            return;
        };
        self.release_popular(server, &copy);
        let now = millis(self.events.now());
        if let (Version::Shallothill, Some(nodes)) = (self.version, &mut self.nodes) {
            nodes[entry_node(copy.entry)].record_answer(now, Fingerprint(POPULAR_REQUEST));
            nodes[gate_node(server)].record_answer(now, Fingerprint(POPULAR_REQUEST));
        }
    }

    pub(super) fn fail_popular(&mut self, server: usize, crash: CrashId) {
        let copies = std::mem::take(&mut self.bystanders.in_flight[server]);
        for copy in copies.values() {
            self.bystanders.lost += 1;
            self.record_crash_at(gate_node(server), POPULAR_REQUEST, crash);
            self.record_crash_at(entry_node(copy.entry), POPULAR_REQUEST, crash);
            self.release_popular(server, copy);
        }
        if !copies.is_empty() {
            let request = POPULAR_REQUEST;
            self.events
                .schedule_after(PROPAGATION_DELAY, Event::CrashPropagated { request, crash });
        }
    }
}
