//! The datagrams of gates in the simulation of server states.

use shallothill_core::health::ServingState;
use shallothill_core::time::Millis;
use shallothill_policy::pick::ReportedLoad;

use crate::sim;
use crate::sim::millis;
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
        let now = millis(self.events.now());
        let load = self.hosts[server].load(now);
        let Some(changed) = self.reporters[server].poll(now, &load) else {
            return;
        };
        self.totals.changes += u64::from(changed && self.counts());
        let dc = self.hosts[server].dc;
        let near = |n: &usize| region_of(dc_of(*n)) == region_of(dc);
        let mut receivers: Vec<usize> = (0..self.entries.len()).filter(near).collect();
        receivers.sort_by_key(|n| (dc_of(*n) != dc, *n));
        receivers.truncate(MAX_NEIGHBOURS);
        for entry in receivers {
            self.send_notice(server, entry, load);
        }
    }

    fn send_notice(&mut self, server: usize, entry: usize, load: ReportedLoad) {
        let (from, to) = (self.hosts[server].dc, self.entries[entry].dc);
        if self.counts() {
            self.totals.datagrams += 1;
            self.totals.far_datagrams += u64::from(region_of(from) != region_of(to));
        }
        let event = Event::Notice {
            entry,
            server,
            load,
        };
        self.events.schedule_after(sim::one_way(from, to), event);
    }
}
