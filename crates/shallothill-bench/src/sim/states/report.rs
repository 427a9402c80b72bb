//! The datagrams of gates in the simulation of server states.

use rand::seq::SliceRandom;
use shallothill_core::health::ServingState;
use shallothill_core::ids::NodeName;
use shallothill_core::time::Millis;
use shallothill_policy::notices::NoticeOptions;
use shallothill_policy::pick::ReportedLoad;

use crate::sim;
use crate::sim::millis;
use crate::sim::states::plan::Reporting;
use crate::sim::states::{Event, StatesSimulation, dc_of, region_of};

const REPEAT_MS: u64 = 800;
const MAX_NEIGHBOURS: usize = 32;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Condition {
    Usual,
    Full,
    Unusual(ServingState),
}

impl Condition {
    fn of(load: &ReportedLoad) -> Self {
        match load.state {
            ServingState::Ready | ServingState::Cold if load.in_flight < load.slots => Self::Usual,
            ServingState::Ready | ServingState::Cold => Self::Full,
            state => Self::Unusual(state),
        }
    }
}

/// What the gate of one server sent last.
#[derive(Default)]
pub(super) struct Reporter {
    sent: Option<(Condition, Millis)>,
}

impl Reporter {
    /// Returns whether the load is to be sent now, and whether its condition has changed.
    fn poll(&mut self, now: Millis, load: &ReportedLoad) -> Option<bool> {
        let condition = Condition::of(load);
        let (last, at) = self.sent.unwrap_or((Condition::Usual, Millis(0)));
        let changed = condition != last;
        let due = condition != Condition::Usual && now.0 >= at.0 + REPEAT_MS;
        if !changed && !due {
            return None;
        }
        self.sent = Some((condition, now));
        Some(changed)
    }
}

impl StatesSimulation {
    pub(super) fn poll_notices(&mut self, server: usize) {
        match self.plan.reporting {
            Reporting::Region => self.notify_region(server),
            Reporting::Senders => self.notify_senders(server),
        }
    }

    fn notify_region(&mut self, server: usize) {
        let now = millis(self.events.now());
        let load = self.hosts[server].load(now);
        let Some(changed) = self.reporters[server].poll(now, &load) else {
            return;
        };
        self.totals.changes += u64::from(changed && self.counts());
        for entry in self.neighbours(server) {
            self.send_notice(server, entry, load, true);
        }
    }

    fn notify_senders(&mut self, server: usize) {
        let now = millis(self.events.now());
        let options = NoticeOptions::default();
        let load = self.hosts[server].load(now);
        let own = server % self.entries.len();
        self.apply_notice(own, server, load, true);
        let Some(receivers) = self.hosts[server].notices.poll(now, &load, &options) else {
            return;
        };
        let counts = self.counts();
        self.totals.changes += u64::from(receivers.changed && counts);
        let region = region_of(self.hosts[server].dc);
        let senders = self.hosts[server].senders.list(now, options.sender_age);
        let index = |name: &NodeName| name.as_str()[1..].parse::<usize>().ok();
        let (mut near, mut far): (Vec<usize>, Vec<usize>) = senders
            .iter()
            .filter_map(index)
            .partition(|n| region_of(dc_of(*n)) == region);
        if receivers.region {
            let neighbours = self.neighbours(server);
            let others = neighbours.into_iter().filter(|n| !near.contains(n));
            let others: Vec<usize> = others.collect();
            near.extend(others);
            near.truncate(options.max_near);
            near.shuffle(&mut self.rng);
            for (n, entry) in near.into_iter().enumerate() {
                self.send_notice(server, entry, load, n < options.max_invited);
            }
        }
        if receivers.other_regions {
            far.truncate(options.max_far);
            for entry in far {
                self.send_notice(server, entry, load, false);
            }
        }
    }

    // Returns the first nodes of the region of a server, those of its data centre first.
    fn neighbours(&self, server: usize) -> Vec<usize> {
        let dc = self.hosts[server].dc;
        let near = |n: &usize| region_of(dc_of(*n)) == region_of(dc);
        let mut nodes: Vec<usize> = (0..self.entries.len()).filter(near).collect();
        nodes.sort_by_key(|n| (dc_of(*n) != dc, *n));
        nodes.truncate(MAX_NEIGHBOURS);
        nodes
    }

    fn send_notice(&mut self, server: usize, entry: usize, load: ReportedLoad, invited: bool) {
        let (from, to) = (self.hosts[server].dc, self.entries[entry].dc);
        if self.counts() {
            self.totals.datagrams += 1;
            self.totals.far_datagrams += u64::from(region_of(from) != region_of(to));
        }
        let event = Event::Notice {
            entry,
            server,
            load,
            invited,
        };
        self.events.schedule_after(sim::one_way(from, to), event);
    }

    pub(super) fn apply_notice(
        &self,
        entry: usize,
        server: usize,
        load: ReportedLoad,
        invited: bool,
    ) {
        let now = millis(self.events.now());
        let table = self.entries[entry].tables.service(&self.service);
        if let Some(endpoint) = table.and_then(|t| t.find(self.hosts[server].key)) {
            endpoint.stats.record_load(now, load);
            if !invited {
                let until = now + NoticeOptions::default().repeat_interval;
                endpoint.stats.postpone_trial(until);
            }
        }
    }
}
