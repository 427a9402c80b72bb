//! A small message bus with simulated disks, in virtual time, that checks the invariants.
#![allow(dead_code)] // Each test file uses another part.

pub mod host;
pub mod schedule;

use std::collections::{BTreeMap, BTreeSet};

use host::Host;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shallothill_core::ids::KeeperId;
use shallothill_core::time::Millis;
use shallothill_replica::{
    Action, Entry, Event, MemberState, Message, Op, ProposeResult, ProtocolFaults, ReadToken,
    ReplicaOptions, Request, RequestId, Role, SyncToken,
};

const TICK: u64 = 20;

enum Due {
    Message(KeeperId, KeeperId, Message),
    Synced(KeeperId, u64, SyncToken, Op),
}

/// Chances per thousand of what goes wrong on the way.
#[derive(Clone, Copy, Default)]
pub struct FaultRates {
    pub drop: u32,
    pub repeat: u32,
    pub crash: u32,
    pub slow: u32,
}

pub struct Bus {
    pub now: u64,
    pub rng: StdRng,
    pub hosts: BTreeMap<KeeperId, Host>,
    pub cuts: BTreeSet<(KeeperId, KeeperId)>,
    pub fault_rates: FaultRates,
    /// A host that crashes after some more actions.
    pub crash_at: Option<(KeeperId, usize)>,
    pub options: ReplicaOptions,
    /// The first value applied at each position.
    pub chosen: BTreeMap<Op, Entry>,
    /// Requests that were answered as committed.
    pub accepted: BTreeMap<RequestId, Op>,
    pub answers: BTreeMap<RequestId, ProposeResult>,
    pub ready: BTreeMap<ReadToken, u64>,
    pub refused: BTreeSet<ReadToken>,
    /// Requests to change the members; they are repeated with other ids.
    pub changes: BTreeMap<RequestId, Vec<KeeperId>>,
    pub violations: Vec<String>,
    pub largest_message: usize,
    /// The largest payload of a request.
    pub payload: usize,
    pub without_primary: u64,
    queue: BTreeMap<(u64, u64), Due>,
    seq: u64,
    requests: u64,
}

pub fn options(seed: u64) -> ReplicaOptions {
    ReplicaOptions {
        seed,
        snapshot_every_entries: 30,
        trailing_entries: 5,
        snapshot_chunk_bytes: 2000,
        ..ReplicaOptions::default()
    }
}

impl Bus {
    /// A new group of `n` members, numbered from 1.
    pub fn new_group(seed: u64, n: u32, options: ReplicaOptions) -> Self {
        let mut bus = Self {
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            hosts: BTreeMap::new(),
            cuts: BTreeSet::new(),
            fault_rates: FaultRates::default(),
            crash_at: None,
            options,
            chosen: BTreeMap::new(),
            accepted: BTreeMap::new(),
            answers: BTreeMap::new(),
            ready: BTreeMap::new(),
            refused: BTreeSet::new(),
            changes: BTreeMap::new(),
            violations: Vec::new(),
            largest_message: 0,
            payload: 60,
            without_primary: 0,
            queue: BTreeMap::new(),
            seq: 0,
            requests: 0,
        };
        let members: Vec<KeeperId> = (1..=n).map(KeeperId).collect();
        for id in &members {
            bus.add_host(*id, members.clone(), true);
        }
        bus
    }

    /// A group of `n` members that has a primary.
    pub fn formed(seed: u64, n: u32, broken: ProtocolFaults) -> Self {
        let mut options = options(seed);
        options.protocol_faults = broken;
        let mut bus = Self::new_group(seed, n, options);
        bus.run_until(20_000, |b| b.primary().is_some());
        bus
    }

    pub fn add_host(&mut self, id: KeeperId, members: Vec<KeeperId>, create_group: bool) {
        let mut options = self.options.clone();
        options.me = id;
        options.members = members;
        options.create_group = create_group;
        let host = Host::new(options);
        self.hosts.insert(id, host);
        self.restart(id);
    }

    pub fn restart_if_down(&mut self, id: KeeperId) {
        if self.hosts.get(&id).is_some_and(|h| h.replica.is_none()) {
            self.restart(id);
        }
    }

    pub fn restart(&mut self, id: KeeperId) {
        let (now, seed) = (Millis(self.now), self.rng.random());
        if let Some(host) = self.hosts.get_mut(&id) {
            host.start(seed, now);
        }
    }

    /// Ends the process of a host; what was not synced is lost, except for some first part of it.
    pub fn crash(&mut self, id: KeeperId) {
        let keep = self.rng.random_range(0..4);
        if let Some(host) = self.hosts.get_mut(&id) {
            host.crash(keep);
        }
    }

    pub fn lose_disk(&mut self, id: KeeperId) {
        self.crash(id);
        let accepted = self.accepted.values().copied().max().unwrap_or_default();
        if let Some(host) = self.hosts.get_mut(&id) {
            host.lose_disk(accepted);
        }
    }

    pub fn cut(&mut self, from: u32, to: u32) {
        self.cuts.insert((KeeperId(from), KeeperId(to)));
    }

    /// The whole primary of the highest view that runs and can be asked.
    pub fn primary(&self) -> Option<KeeperId> {
        let running = self.hosts.values().filter(|h| h.frozen_until <= self.now);
        let statuses = running.filter_map(|h| h.replica.as_ref().map(|r| r.status()));
        let primaries = statuses.filter(|s| s.role == Role::Primary);
        primaries.max_by_key(|s| s.view).map(|s| s.me)
    }

    pub fn commit(&self, id: u32) -> Op {
        let replica = self
            .hosts
            .get(&KeeperId(id))
            .and_then(|h| h.replica.as_ref());
        replica.map_or(Op(0), |r| r.status().commit)
    }

    pub fn view(&self) -> u64 {
        let running = self.hosts.values().filter_map(|h| h.replica.as_ref());
        running.map(|r| r.status().view.0).max().unwrap_or(0)
    }

    pub fn member_state(&self, id: u32) -> Option<MemberState> {
        let replica = self.hosts.get(&KeeperId(id))?.replica.as_ref()?;
        Some(replica.status().member_state)
    }

    pub fn propose(&mut self, to: KeeperId) -> RequestId {
        self.requests += 1;
        let id = RequestId(u128::from(self.requests));
        let size = self.rng.random_range(self.payload / 2..self.payload);
        let payload = vec![self.requests as u8; size].into();
        self.event(
            to,
            Event::Propose {
                request: Request { id, payload },
            },
        );
        id
    }

    pub fn change_members(&mut self, to: KeeperId, members: Vec<KeeperId>) -> RequestId {
        self.requests += 1;
        let id = RequestId(u128::from(self.requests));
        self.changes.insert(id, members.clone());
        self.event(to, Event::ChangeMembers { id, members });
        id
    }

    pub fn run(&mut self, ms: u64) {
        self.run_until(ms, |_| false);
    }

    /// Runs until the condition holds, `ms` at most; tells whether it held.
    pub fn run_until(&mut self, ms: u64, done: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + ms;
        while self.now < end {
            if done(self) {
                return true;
            }
            self.now += 1;
            while let Some(entry) = self.queue.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let due = entry.remove();
                self.deliver(due);
            }
            self.tick();
        }
        done(self)
    }

    fn tick(&mut self) {
        let ids: Vec<KeeperId> = self.hosts.keys().copied().collect();
        for id in ids {
            if self.now % TICK == u64::from(id.0) % TICK {
                self.event(id, Event::Tick);
            }
        }
        if self.now.is_multiple_of(TICK) && self.primary().is_none() {
            self.without_primary += TICK;
        }
    }

    fn deliver(&mut self, due: Due) {
        let to = match &due {
            Due::Message(_, to, _) | Due::Synced(to, ..) => *to,
        };
        let Some(host) = self.hosts.get_mut(&to) else {
            return;
        };
        if host.frozen_until > self.now {
            let at = host.frozen_until;
            self.schedule(at, due);
            return;
        }
        match due {
            Due::Message(from, to, msg) => self.event(to, Event::Message { from, msg }),
            Due::Synced(id, life, upto, op) => {
                if host.life == life && host.replica.is_some() {
                    host.disk.durable = host.disk.durable.max(op);
                    self.event(id, Event::Synced { upto });
                }
            }
        }
    }

    fn schedule(&mut self, at: u64, due: Due) {
        self.seq += 1;
        assert!(
            self.queue.len() < 20_000,
            "messages cause ever more messages"
        );
        self.queue.insert((at, self.seq), due);
    }

    pub fn event(&mut self, id: KeeperId, event: Event) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(&id) else {
            return;
        };
        if host.frozen_until > now {
            return;
        }
        let Some(replica) = host.replica.as_mut() else {
            return;
        };
        let before = replica.status().commit;
        let actions = replica.step(Millis(now), event);
        if replica.status().commit < before {
            self.violations
                .push(format!("{id}: the commit position fell"));
        }
        // A crash may come between any two actions.
        let mut crash = self.rng.random_range(0..1000) < self.fault_rates.crash;
        let mut last = actions.len();
        if crash {
            last = self.rng.random_range(0..=actions.len());
        }
        if let Some((_, left)) = self.crash_at.as_mut().filter(|(who, _)| *who == id) {
            if *left < last {
                (crash, last) = (true, *left);
                self.crash_at = None;
            } else {
                *left -= last;
            }
        }
        for action in actions.into_iter().take(last) {
            self.carry_out(id, action);
        }
        if crash {
            self.crash(id);
        }
    }

    fn carry_out(&mut self, id: KeeperId, action: Action) {
        let Some(host) = self.hosts.get_mut(&id) else {
            return;
        };
        match action {
            Action::Sync(token) => {
                let (life, op) = (host.life, host.disk.last());
                let at = self.now + self.rng.random_range(1..40);
                self.schedule(at, Due::Synced(id, life, token, op));
            }
            Action::Send { to, msg } => self.send(id, to, msg),
            Action::Apply { op, entry } => {
                host.apply(op, &entry);
                if self.chosen.entry(op).or_insert_with(|| entry.clone()) != &entry {
                    let rule = format!("{id}: two values at {op}");
                    self.violations.push(rule);
                }
            }
            Action::Reply { request, result } => {
                self.answers.insert(request, result);
                let change = self.changes.contains_key(&request);
                if let (ProposeResult::Committed(op), false) = (result, change) {
                    self.accepted.insert(request, op);
                }
            }
            Action::ReadReady { token } => {
                self.ready.insert(token, host.applied.0);
            }
            Action::ReadRefused { token, .. } => {
                self.refused.insert(token);
            }
            Action::TakeSnapshot(meta) => {
                let snapshot = host.take_snapshot(meta);
                self.event(id, Event::SnapshotTaken { snapshot });
            }
            other => self.violations.extend(host.store(other)),
        }
    }

    fn send(&mut self, from: KeeperId, to: KeeperId, msg: Message) {
        let counts = matches!(msg, Message::VoteReply { .. } | Message::AppendReply { .. });
        if counts && self.hosts.get(&from).is_some_and(|h| h.must_recover) {
            self.violations
                .push(format!("{from}: answered before it was whole"));
        }
        if self.payload > 60 || self.seq.is_multiple_of(50) {
            let bytes = rmp_serde::to_vec(&msg).expect("messages are encoded");
            let decoded: Message = rmp_serde::from_slice(&bytes).expect("messages are decoded");
            assert_eq!(decoded, msg);
            self.largest_message = self.largest_message.max(bytes.len());
        }
        if self.cuts.contains(&(from, to)) || self.rng.random_range(0..1000) < self.fault_rates.drop
        {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_range(0..1000) < self.fault_rates.repeat);
        for _ in 0..copies {
            let slow = self.rng.random_range(0..1000) < self.fault_rates.slow;
            let delay = self.rng.random_range(1..if slow { 2000 } else { 25 });
            let at = self.now + delay;
            self.schedule(at, Due::Message(from, to, msg.clone()));
        }
    }
}
