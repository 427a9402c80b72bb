//! Simulates losses of keepers while others are replaced, with the real membership planner.

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shallothill_core::ids::KeeperId;
use shallothill_core::time::Millis;
use shallothill_keeper::membership_planner::{
    MemberObservation, MembershipOptions, MembershipPlanner,
};

/// Number of keepers that may be lost at the same time.
const TOLERATED_LOSSES: usize = 2;

/// Time for which a keeper still counts as lost after its return or the start of its successor.
const CATCH_UP_MS: u64 = 4000;

/// Time that passes with each step of the simulation.
const STEP_MS: u64 = 100;

/// Longest time until a new primary is elected.
const ELECTION_MS: u64 = 1500;

/// Time from the start of a keeper without data until it has copied the log.
const COPY_MS: u64 = 400;

/// Time from the start of a successor until the keeper that it replaces as planned is stopped.
const HANDOVER_MS: u64 = 1000;

/// Longest time for which a keeper that is stopped waits for its removal.
const LEAVE_MS: u64 = 1500;

/// Longest time until the first answer of a new member.
const FIRST_ANSWER_MS: u64 = 1000;

/// Seeds with which a primary is lost soon after its election, when it should have removed the
/// member that was lost before the election.
const SLOW_REMOVAL_SEEDS: [u64; 2] = [1775, 3795];

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Disk {
    Complete,
    /// The keeper has no data since its start or the loss of its disk, and copies the log.
    Empty,
    /// The keeper does not come back.
    Gone,
}

#[derive(Clone, Debug)]
struct Host {
    disk: Disk,
    /// Time of the last or next start of the process.
    starts_at: u64,
    joined_at: u64,
    /// Time of the signal to stop for good, if the host is replaced as planned.
    stops_at: Option<u64>,
}

impl Host {
    fn successor(starts_at: u64) -> Self {
        Self {
            disk: Disk::Empty,
            starts_at,
            joined_at: 0,
            stops_at: None,
        }
    }

    fn is_running(&self, now: u64) -> bool {
        self.disk != Disk::Gone && now >= self.starts_at
    }

    fn has_complete_log(&self, now: u64) -> bool {
        self.disk == Disk::Complete && self.is_running(now)
    }
}

struct Group {
    now: u64,
    rng: StdRng,
    planner: MembershipPlanner,
    hosts: BTreeMap<KeeperId, Host>,
    members: Vec<KeeperId>,
    primary: Option<(KeeperId, u64)>,
    last_answers: BTreeMap<KeeperId, Millis>,
    /// End of the time for which each loss counts.
    losses: Vec<u64>,
    events: Vec<String>,
}

impl Group {
    fn new(seed: u64) -> Self {
        let host = || Host {
            disk: Disk::Complete,
            starts_at: 0,
            joined_at: 0,
            stops_at: None,
        };
        let members: Vec<KeeperId> = (1..=5).map(KeeperId).collect();
        Self {
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            planner: MembershipPlanner::new(MembershipOptions {
                tolerated_losses: TOLERATED_LOSSES,
                ..MembershipOptions::default()
            }),
            hosts: members.iter().map(|k| (*k, host())).collect(),
            members,
            primary: Some((KeeperId(1), 0)),
            last_answers: BTreeMap::new(),
            losses: Vec::new(),
            events: Vec::new(),
        }
    }

    fn at(&self) -> Millis {
        Millis(self.now)
    }

    fn is_majority(&self, count: usize, of: &[KeeperId]) -> bool {
        count > of.len() / 2
    }

    fn count_complete(&self, of: &[KeeperId]) -> usize {
        let complete = of
            .iter()
            .filter(|k| self.hosts[k].has_complete_log(self.now));
        complete.count()
    }

    /// Whether a majority of the members still has a complete log, so that the others can recover.
    fn survives(&self) -> bool {
        let kept = self
            .members
            .iter()
            .filter(|k| self.hosts[k].disk == Disk::Complete);
        self.is_majority(kept.count(), &self.members)
    }

    fn lose_one(&mut self) {
        self.losses.retain(|until| *until > self.now);
        if self.losses.len() >= TOLERATED_LOSSES {
            return;
        }
        let now = self.now;
        let running: Vec<KeeperId> = self
            .hosts
            .iter()
            .filter(|(_, h)| h.is_running(now) && now >= h.starts_at + CATCH_UP_MS)
            .filter(|(_, h)| h.stops_at.is_none())
            .map(|(k, _)| *k)
            .collect();
        if running.is_empty() {
            return;
        }
        let id = running[self.rng.random_range(0..running.len())];
        let back = now + self.rng.random_range(500..6000);
        let kind = self.rng.random_range(0..4);
        self.events
            .push(format!("{now}: {id} lost, kind {kind}, back at {back}"));
        let host = self.hosts.get_mut(&id).expect("a host");
        match kind {
            0 => host.starts_at = back,
            1 => {
                host.starts_at = back;
                host.disk = Disk::Empty;
            }
            2 => {
                host.disk = Disk::Gone;
                let started = now + self.rng.random_range(0..2000);
                self.add_successor(id, started);
                return;
            }
            _ => {
                host.stops_at = Some(now + HANDOVER_MS);
                self.add_successor(id, now);
                return;
            }
        }
        self.losses.push(back + CATCH_UP_MS);
    }

    fn add_successor(&mut self, of: KeeperId, starts_at: u64) {
        let id = KeeperId(of.0 + 10);
        self.hosts.insert(id, Host::successor(starts_at));
        self.losses.push(starts_at + CATCH_UP_MS);
    }

    /// Lets the hosts that are replaced as planned leave the group and stop.
    fn stop_replaced(&mut self) {
        let now = self.at();
        let removable = self.planner.options().can_leave(self.members.len());
        for (id, host) in &mut self.hosts {
            let Some(at) = host.stops_at.filter(|at| self.now >= *at) else {
                continue;
            };
            if removable && self.members.contains(id) && self.now < at + LEAVE_MS {
                self.planner.request_leave(now, *id);
            } else {
                host.disk = Disk::Gone;
            }
        }
    }

    fn elect(&mut self) {
        let quorum = self.is_majority(self.count_complete(&self.members), &self.members);
        let current = self
            .primary
            .filter(|(k, _)| self.hosts[k].has_complete_log(self.now));
        if !quorum {
            self.primary = None;
        } else if current.is_none() {
            let members = self.members.iter();
            let next = members
                .copied()
                .find(|k| self.hosts[k].has_complete_log(self.now));
            let at = match self.primary {
                Some((_, at)) if self.now < at => at,
                _ => self.now + ELECTION_MS,
            };
            self.primary = next.map(|k| (k, at));
        }
    }

    /// Completes the logs of empty keepers while a majority of the members has a complete log.
    fn recover(&mut self) {
        let quorum = self.is_majority(self.count_complete(&self.members), &self.members);
        for host in self.hosts.values_mut() {
            if quorum && host.disk == Disk::Empty && self.now >= host.starts_at + COPY_MS {
                host.disk = Disk::Complete;
            }
        }
    }

    fn change_members(&mut self) {
        let now = self.at();
        for id in self.hosts.keys() {
            let host = &self.hosts[id];
            if host.has_complete_log(self.now) && self.members.contains(id) {
                let first = host.joined_at != 0 && self.now < host.joined_at + FIRST_ANSWER_MS;
                if !first {
                    self.last_answers.insert(*id, now);
                }
            } else if host.has_complete_log(self.now) {
                self.planner.request_join(now, *id);
            }
        }
        let Some((_, since)) = self.primary.filter(|(_, at)| *at <= self.now) else {
            return;
        };
        let observation = |id: &KeeperId| MemberObservation {
            last_answer: self.last_answers.get(id).copied(),
            polled_since: Millis(self.hosts[id].joined_at),
            heartbeats_since: Millis(since.max(self.hosts[id].joined_at)),
        };
        let observations = self.members.iter().map(|k| (*k, observation(k))).collect();
        let Some(change) = self.planner.next_change(now, &self.members, &observations) else {
            return;
        };
        if self.is_majority(self.count_complete(&change.members), &change.members) {
            self.events.push(format!("{now:?}: {:?}", change.reason));
            for id in change.members.iter().filter(|k| !self.members.contains(k)) {
                self.hosts.get_mut(id).expect("a host").joined_at = self.now;
            }
            self.members = change.members;
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        self.elect();
        self.recover();
        self.stop_replaced();
        self.change_members();
    }
}

/// Guards against a group that loses its quorum for good after tolerated losses: lost and replaced
/// keepers must be removed before two others may be lost, wherever their successors are.
#[test]
fn a_group_survives_two_losses_after_each_replacement() {
    for seed in (0..300).chain(SLOW_REMOVAL_SEEDS) {
        let mut group = Group::new(seed);
        while group.now < 60_000 {
            if group.rng.random_range(0..10) == 0 {
                group.lose_one();
            }
            group.step();
            assert!(group.survives(), "seed {seed}: {:#?}", group.events);
        }
    }
}

/// Guards against a new member that is removed and joins again repeatedly, instead of the member
/// that it replaces.
#[test]
fn a_replacement_takes_two_changes() {
    let mut group = Group::new(1);
    let gone = group.hosts.get_mut(&KeeperId(5)).expect("a host");
    gone.disk = Disk::Gone;
    group.hosts.insert(KeeperId(15), Host::successor(1000));

    while group.now < 1000 + CATCH_UP_MS {
        group.step();
    }

    assert_eq!(group.events.len(), 2, "{:#?}", group.events);
    assert_eq!(group.members, [1, 2, 3, 4, 15].map(KeeperId));
}
