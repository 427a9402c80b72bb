//! Losses of keepers while others are replaced, played with the pure decisions on the group.

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shallothill_core::ids::{DataCentre, KeeperId};
use shallothill_core::time::Millis;
use shallothill_keeper::membership_planner::{
    MemberObservation, MembershipOptions, MembershipPlanner,
};

/// How many keepers may be lost at the same time.
const TOLERATED: usize = 2;

/// How long a keeper counts as lost after it is back, or after its successor started, in ms.
const CATCH_UP_MS: u64 = 4000;

/// The time between two looks at the group, in ms.
const STEP_MS: u64 = 100;

/// The longest time until a new primary is elected, in ms.
const ELECTION_MS: u64 = 1500;

/// The time between the start of an empty keeper and its request to join, in ms.
const COPY_MS: u64 = 400;

/// The longest time until a new member is heard, in ms.
const FIRST_ANSWER_MS: u64 = 1000;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Disk {
    Whole,
    /// Empty since the keeper started or its disk was lost; it copies the log.
    Empty,
    /// The keeper is gone for good.
    Gone,
}

#[derive(Clone, Debug)]
struct Host {
    data_centre: u32,
    disk: Disk,
    /// When the process runs again, or started.
    up_at: u64,
    joined_at: u64,
}

impl Host {
    fn runs(&self, now: u64) -> bool {
        self.disk != Disk::Gone && now >= self.up_at
    }

    fn is_whole(&self, now: u64) -> bool {
        self.disk == Disk::Whole && self.runs(now)
    }
}

struct Group {
    now: u64,
    rng: StdRng,
    planner: MembershipPlanner,
    hosts: BTreeMap<KeeperId, Host>,
    members: Vec<KeeperId>,
    primary: Option<(KeeperId, u64)>,
    heard: BTreeMap<KeeperId, Millis>,
    /// Until when each loss counts.
    losses: Vec<u64>,
    log: Vec<String>,
}

impl Group {
    fn new(seed: u64) -> Self {
        let host = |data_centre| Host {
            data_centre,
            disk: Disk::Whole,
            up_at: 0,
            joined_at: 0,
        };
        let members: Vec<KeeperId> = (1..=5).map(KeeperId).collect();
        Self {
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            planner: MembershipPlanner::new(MembershipOptions {
                tolerated_losses: TOLERATED,
                ..MembershipOptions::default()
            }),
            hosts: members.iter().map(|k| (*k, host(k.0))).collect(),
            members,
            primary: Some((KeeperId(1), 0)),
            heard: BTreeMap::new(),
            losses: Vec::new(),
            log: Vec::new(),
        }
    }

    fn at(&self) -> Millis {
        Millis(self.now)
    }

    fn is_majority(&self, count: usize, of: &[KeeperId]) -> bool {
        count > of.len() / 2
    }

    fn whole(&self, of: &[KeeperId]) -> usize {
        let whole = of.iter().filter(|k| self.hosts[k].is_whole(self.now));
        whole.count()
    }

    /// Whether so many members keep their disks that the others can recover from them.
    fn survives(&self) -> bool {
        let kept = self
            .members
            .iter()
            .filter(|k| self.hosts[k].disk == Disk::Whole);
        self.is_majority(kept.count(), &self.members)
    }

    fn lose_one(&mut self) {
        self.losses.retain(|until| *until > self.now);
        if self.losses.len() >= TOLERATED {
            return;
        }
        let now = self.now;
        let running: Vec<KeeperId> = self
            .hosts
            .iter()
            .filter(|(_, h)| h.runs(now) && now >= h.up_at + CATCH_UP_MS)
            .map(|(k, _)| *k)
            .collect();
        if running.is_empty() {
            return;
        }
        let id = running[self.rng.random_range(0..running.len())];
        let back = now + self.rng.random_range(500..6000);
        let what = self.rng.random_range(0..4);
        self.log
            .push(format!("{now}: {id} lost, kind {what}, back at {back}"));
        let host = self.hosts.get_mut(&id).expect("a host");
        match what {
            0 => host.up_at = back,
            1 => {
                host.up_at = back;
                host.disk = Disk::Empty;
            }
            _ => {
                host.disk = Disk::Gone;
                let started = now + self.rng.random_range(0..2000);
                let successor = Host {
                    data_centre: self.hosts[&id].data_centre,
                    disk: Disk::Empty,
                    up_at: started,
                    joined_at: 0,
                };
                self.hosts.insert(KeeperId(id.0 + 10), successor);
                self.losses.push(started + CATCH_UP_MS);
                return;
            }
        }
        self.losses.push(back + CATCH_UP_MS);
    }

    fn elect(&mut self) {
        let quorum = self.is_majority(self.whole(&self.members), &self.members);
        let current = self
            .primary
            .filter(|(k, _)| self.hosts[k].is_whole(self.now));
        if !quorum {
            self.primary = None;
        } else if current.is_none() {
            let members = self.members.iter();
            let next = members.copied().find(|k| self.hosts[k].is_whole(self.now));
            let at = match self.primary {
                Some((_, at)) if self.now < at => at,
                _ => self.now + ELECTION_MS,
            };
            self.primary = next.map(|k| (k, at));
        }
    }

    /// An empty member recovers from a majority of the members besides itself.
    fn recover(&mut self) {
        let quorum = self.is_majority(self.whole(&self.members), &self.members);
        for host in self.hosts.values_mut() {
            if quorum && host.disk == Disk::Empty && self.now >= host.up_at + COPY_MS {
                host.disk = Disk::Whole;
            }
        }
    }

    fn change_members(&mut self) {
        let now = self.at();
        for id in self.hosts.keys() {
            let host = &self.hosts[id];
            if host.is_whole(self.now) && self.members.contains(id) {
                let first = host.joined_at != 0 && self.now < host.joined_at + FIRST_ANSWER_MS;
                if !first {
                    self.heard.insert(*id, now);
                }
            } else if host.is_whole(self.now) {
                self.planner.request_join(now, *id);
            }
        }
        let Some((_, since)) = self.primary.filter(|(_, at)| *at <= self.now) else {
            return;
        };
        let observation = |id: &KeeperId| MemberObservation {
            data_centre: DataCentre::try_new(&format!("dc-{}", self.hosts[id].data_centre)).ok(),
            last_answer: self.heard.get(id).copied(),
            polled_since: Millis(self.hosts[id].joined_at),
            heartbeats_since: Millis(since.max(self.hosts[id].joined_at)),
        };
        let observations = self.members.iter().map(|k| (*k, observation(k))).collect();
        let Some(change) = self.planner.next_change(now, &self.members, &observations) else {
            return;
        };
        if self.is_majority(self.whole(&change.members), &change.members) {
            self.log.push(format!("{now:?}: {:?}", change.reason));
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
        self.change_members();
    }
}

/// Guards against a group that can never answer again after losses that it has to bear: keepers that
/// are gone and replaced have to leave before two others may be lost.
#[test]
fn a_group_survives_two_losses_after_each_replacement() {
    for seed in 0..300 {
        let mut group = Group::new(seed);
        while group.now < 60_000 {
            if group.rng.random_range(0..10) == 0 {
                group.lose_one();
            }
            group.step();
            assert!(group.survives(), "seed {seed}: {:#?}", group.log);
        }
    }
}

/// Guards against a new member that is removed and joins again, in turn with the one it replaces.
#[test]
fn a_replacement_takes_two_changes() {
    let mut group = Group::new(1);
    let gone = group.hosts.get_mut(&KeeperId(5)).expect("a host");
    gone.disk = Disk::Gone;
    let successor = Host {
        data_centre: 5,
        disk: Disk::Empty,
        up_at: 1000,
        joined_at: 0,
    };
    group.hosts.insert(KeeperId(15), successor);

    while group.now < 1000 + CATCH_UP_MS {
        group.step();
    }

    assert_eq!(group.log.len(), 2, "{:#?}", group.log);
    assert_eq!(group.members, [1, 2, 3, 4, 15].map(KeeperId));
}
