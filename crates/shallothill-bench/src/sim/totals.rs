//! Counters of a simulation run.

use std::collections::{BTreeMap, HashMap};

use shallothill_core::class::Class;

use crate::deployment::REGIONS;
use crate::sim::fault::Fault;
use crate::sim::workload::Call;
use crate::sim::{Micros, SECOND};

/// `Ejection` records that a server left the rotation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ejection {
    /// The index of the server.
    pub server: usize,
    /// When the server left the rotation.
    pub at: Micros,
    /// Whether the server was ejected; false when it was only demoted, that is, picked last.
    pub ejected: bool,
}

/// `Totals` collects the counters of a simulation run.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    /// Requests sent for the first time, by second and class.
    pub offered: BTreeMap<(u64, Class), u64>,
    /// Requests completed, by class and by the second in which they were first sent.
    pub completed: BTreeMap<(u64, Class), u64>,
    /// Answers by the second of their arrival, without internal requests.
    pub goodput: BTreeMap<u64, u64>,
    /// Attempts by the second in which they were sent.
    pub attempts: BTreeMap<u64, u64>,
    /// Sends by callers, resends included, by second.
    pub sends: BTreeMap<u64, u64>,
    /// Requests that ended as refused without having run.
    pub refused: u64,
    /// Number of runs of each non-idempotent request, by its key.
    pub runs: HashMap<u64, u32>,
    /// Ejections and demotions, in order of time.
    pub ejections: Vec<Ejection>,
    /// Bytes sent between regions, by second.
    pub cross_region_bytes: BTreeMap<u64, u64>,
    /// Time from the start of a drain to each request that the server still started, in
    /// microseconds.
    pub starts_after_drain: Vec<Micros>,
    /// The longest time for which a region was below its floor while a server was ejected.
    pub longest_floor_shortage: Micros,
    /// The largest number of servers ejected at the same time, for each region.
    pub max_ejected: [usize; REGIONS],
    short_since: [Option<Micros>; REGIONS],
}

impl Totals {
    /// `record_send` counts a request that a caller sends; only its first send counts as offered.
    pub fn record_send(&mut self, now: Micros, call: &Call) {
        *self.sends.entry(now / SECOND).or_default() += 1;
        if call.resent == 0 {
            let second = call.first_sent / SECOND;
            *self.offered.entry((second, call.class)).or_default() += 1;
        }
    }

    /// `record_answer` counts an answered request.
    pub fn record_answer(&mut self, now: Micros, call: &Call) {
        let second = call.first_sent / SECOND;
        *self.completed.entry((second, call.class)).or_default() += 1;
        if !call.class.is_internal() {
            *self.goodput.entry(now / SECOND).or_default() += 1;
        }
    }

    /// `record_start` counts that a server starts to run a non-idempotent request.
    pub fn record_start(&mut self, call: &Call) {
        if !call.idempotent {
            *self.runs.entry(call.key).or_default() += 1;
        }
    }

    /// `record_cross_region` counts bytes sent between regions.
    pub fn record_cross_region(&mut self, now: Micros, bytes: u64) {
        *self.cross_region_bytes.entry(now / SECOND).or_default() += bytes;
    }

    /// `record_floor` compares a region with its floor. `healthy` counts the servers that are up,
    /// warm, not draining and not ejected.
    pub fn record_floor(
        &mut self,
        now: Micros,
        region: usize,
        healthy: usize,
        ejected: usize,
        floor: u32,
    ) {
        self.max_ejected[region] = self.max_ejected[region].max(ejected);
        if ejected > 0 && healthy < floor as usize {
            let since = *self.short_since[region].get_or_insert(now);
            // A shortage seen by a single check counts as 1 µs, so that it is never reported as 0.
            self.longest_floor_shortage = self.longest_floor_shortage.max((now - since).max(1));
        } else {
            self.short_since[region] = None;
        }
    }

    /// `duplicates` counts the non-idempotent requests that ran more than once.
    pub fn duplicates(&self) -> usize {
        self.runs.values().filter(|n| **n > 1).count()
    }

    /// `sum_between` sums a series over the seconds `from..to`.
    pub fn sum_between(series: &BTreeMap<u64, u64>, from: u64, to: u64) -> u64 {
        series.range(from..to).map(|(_, n)| n).sum()
    }

    /// `sum_classes` sums a series over the seconds `from..to` for the classes that
    /// `wanted` accepts.
    pub fn sum_classes(
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

    /// `detection_time` returns the time from `from` until `server` left the rotation.
    /// With `ejected`, a demotion does not count.
    pub fn detection_time(&self, server: usize, from: Micros, ejected: bool) -> Option<Micros> {
        let mut found = self
            .ejections
            .iter()
            .filter(|e| e.server == server && e.at >= from && (e.ejected || !ejected));
        found.next().map(|e| e.at - from)
    }

    /// `false_ejections` counts ejections that no fault of the server justifies.
    pub fn false_ejections(&self, faults: &[Fault]) -> usize {
        self.count_unjustified(faults, true)
    }

    /// `false_demotions` counts demotions that no fault of the server justifies.
    pub fn false_demotions(&self, faults: &[Fault]) -> usize {
        self.count_unjustified(faults, false)
    }

    fn count_unjustified(&self, faults: &[Fault], ejected: bool) -> usize {
        let justified = |e: &Ejection| faults.iter().any(|f| f.justifies_ejection(e.server, e.at));
        let events = self.ejections.iter().filter(|e| e.ejected == ejected);
        events.filter(|e| !justified(e)).count()
    }
}
