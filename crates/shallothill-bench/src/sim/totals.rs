//! What a run counts.

use std::collections::{BTreeMap, HashMap};

use shallothill_core::class::Class;

use crate::deployment::REGIONS;
use crate::sim::fault::Fault;
use crate::sim::workload::Call;
use crate::sim::{Micros, SECOND};

/// `Ejection` is a time at which a server was out of rotation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ejection {
    /// The server.
    pub server: usize,
    /// When it began.
    pub at: Micros,
    /// Whether the server was ejected, and not only picked last.
    pub ejected: bool,
}

/// `Totals` is what a run counts.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    /// Requests sent for the first time, by second and class.
    pub offered: BTreeMap<(u64, Class), u64>,
    /// Requests completed, by second of their first sending and class.
    pub completed: BTreeMap<(u64, Class), u64>,
    /// Answers by the second in which they came, without internal requests.
    pub goodput: BTreeMap<u64, u64>,
    /// Attempts by the second in which they were sent.
    pub attempts: BTreeMap<u64, u64>,
    /// Sends by callers, resends included, by second.
    pub sends: BTreeMap<u64, u64>,
    /// Refusals as not run.
    pub refused: u64,
    /// Runs of each non-idempotent request that ran.
    pub runs: HashMap<u64, u32>,
    /// Times at which servers went out of rotation.
    pub ejections: Vec<Ejection>,
    /// Bytes between regions, by second.
    pub bytes_across: BTreeMap<u64, u64>,
    /// Work that arrived at a draining server, by microseconds since the drain.
    pub after_drain: Vec<Micros>,
    /// The longest time for which a region was below its floor while a server was ejected.
    pub longest_shortage: Micros,
    /// The most servers of each region that were ejected at a time.
    pub most_ejected: [usize; REGIONS],
    short_since: [Option<Micros>; REGIONS],
}

impl Totals {
    /// `offer` counts a request of a caller.
    pub fn offer(&mut self, now: Micros, call: &Call) {
        *self.sends.entry(now / SECOND).or_default() += 1;
        if call.resent == 0 {
            let second = call.first_sent / SECOND;
            *self.offered.entry((second, call.class)).or_default() += 1;
        }
    }

    /// `complete` counts an answer.
    pub fn complete(&mut self, now: Micros, call: &Call) {
        let second = call.first_sent / SECOND;
        *self.completed.entry((second, call.class)).or_default() += 1;
        if !call.class.is_internal() {
            *self.goodput.entry(now / SECOND).or_default() += 1;
        }
    }

    /// `run` counts that a server began to work on a request.
    pub fn run(&mut self, call: &Call) {
        if !call.idempotent {
            *self.runs.entry(call.key).or_default() += 1;
        }
    }

    /// `cross` counts bytes between regions.
    pub fn cross(&mut self, now: Micros, bytes: u64) {
        *self.bytes_across.entry(now / SECOND).or_default() += bytes;
    }

    /// `floor` compares a region with its floor: its healthy servers are those that run, are warm
    /// and stay, and are not ejected.
    pub fn floor(
        &mut self,
        now: Micros,
        region: usize,
        healthy: usize,
        ejected: usize,
        floor: u32,
    ) {
        self.most_ejected[region] = self.most_ejected[region].max(ejected);
        if ejected > 0 && healthy < floor as usize {
            let since = *self.short_since[region].get_or_insert(now);
            // At least one look found the shortage, however short it was.
            self.longest_shortage = self.longest_shortage.max((now - since).max(1));
        } else {
            self.short_since[region] = None;
        }
    }

    /// `duplicates` returns the non-idempotent requests that ran more than once.
    pub fn duplicates(&self) -> usize {
        self.runs.values().filter(|n| **n > 1).count()
    }

    /// `between` sums a series over seconds.
    pub fn between(series: &BTreeMap<u64, u64>, from: u64, to: u64) -> u64 {
        series.range(from..to).map(|(_, n)| n).sum()
    }

    /// `of_class` sums a series over seconds for the classes that `wanted` accepts.
    pub fn of_class(
        series: &BTreeMap<(u64, Class), u64>,
        from: u64,
        to: u64,
        wanted: impl Fn(Class) -> bool,
    ) -> u64 {
        let inside = series
            .iter()
            .filter(|((second, class), _)| (from..to).contains(second) && wanted(*class));
        inside.map(|(_, n)| n).sum()
    }

    /// `detected_after` returns the time from `from` until `server` was out of rotation.
    pub fn detected_after(&self, server: usize, from: Micros, ejected: bool) -> Option<Micros> {
        let mut found = self
            .ejections
            .iter()
            .filter(|e| e.server == server && e.at >= from && (e.ejected || !ejected));
        found.next().map(|e| e.at - from)
    }

    /// `false_ejections` counts ejections that no fault of the server justifies.
    pub fn false_ejections(&self, faults: &[Fault]) -> usize {
        self.unjustified(faults, true)
    }

    /// `false_demotions` counts the times at which a server was picked last without a fault.
    pub fn false_demotions(&self, faults: &[Fault]) -> usize {
        self.unjustified(faults, false)
    }

    fn unjustified(&self, faults: &[Fault], ejected: bool) -> usize {
        let justified = |e: &Ejection| faults.iter().any(|f| f.is_sick(e.server, e.at));
        let events = self.ejections.iter().filter(|e| e.ejected == ejected);
        events.filter(|e| !justified(e)).count()
    }
}
