//! A simulated group in virtual time: a message bus and hosts with simulated disks. It checks the
//! invariants of the log while it runs.
#![allow(dead_code)] // Each test file uses only a part.

mod fault_rates;
pub mod host;
pub mod schedule;

use std::collections::{BTreeMap, BTreeSet};

pub use fault_rates::FaultRates;
use host::Host;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shallothill_core::ids::KeeperId;
use shallothill_core::time::Millis;
use shallothill_replica::{
    Action, Entry, Event, MemberState, Message, Op, ProposeResult, ProtocolFaults, ReadToken,
    ReplicaOptions, Request, RequestId, Role, SyncToken,
};

const TICK_MS: u64 = 20;

enum QueuedEvent {
    Message(KeeperId, KeeperId, Message),
    /// A completed sync, valid only for the process that started it.
    Synced(KeeperId, u64, SyncToken, Op),
}

pub struct Bus {
    /// The virtual time in ms.
    pub now: u64,
    pub rng: StdRng,
    pub hosts: BTreeMap<KeeperId, Host>,
    pub cut_links: BTreeSet<(KeeperId, KeeperId)>,
    pub fault_rates: FaultRates,
    /// A host that is going to crash, and the number of actions that it still performs before.
    pub crash_at: Option<(KeeperId, usize)>,
    pub options: ReplicaOptions,
    /// The entry that the first host applied at each position.
    pub first_applied: BTreeMap<Op, Entry>,
    /// The requests that were answered as committed, with their positions.
    pub accepted: BTreeMap<RequestId, Op>,
    pub results: BTreeMap<RequestId, ProposeResult>,
    /// The position that was applied when each read was served.
    pub ready_reads: BTreeMap<ReadToken, u64>,
    pub refused_reads: BTreeSet<ReadToken>,
    /// The requested changes of members; a repeated change has another id.
    pub requested_changes: BTreeMap<RequestId, Vec<KeeperId>>,
    pub violations: Vec<String>,
    pub largest_message: usize,
    /// The exclusive upper bound of the payload of a request.
    pub max_payload_bytes: usize,
    pub ms_without_primary: u64,
    queue: BTreeMap<(u64, u64), QueuedEvent>,
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
    /// Creates a new group of `n` members, numbered from 1.
    pub fn new_group(seed: u64, n: u32, options: ReplicaOptions) -> Self {
        let mut bus = Self {
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            hosts: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            fault_rates: FaultRates::default(),
            crash_at: None,
            options,
            first_applied: BTreeMap::new(),
            accepted: BTreeMap::new(),
            results: BTreeMap::new(),
            ready_reads: BTreeMap::new(),
            refused_reads: BTreeSet::new(),
            requested_changes: BTreeMap::new(),
            violations: Vec::new(),
            largest_message: 0,
            max_payload_bytes: 60,
            ms_without_primary: 0,
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

    /// Creates a group of `n` members and runs it until it has a primary.
    pub fn with_primary(seed: u64, n: u32, protocol_faults: ProtocolFaults) -> Self {
        let mut options = options(seed);
        options.protocol_faults = protocol_faults;
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

    /// Ends the process of a host; of the entries that were not synced, only a random first part
    /// remains.
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

    /// Cuts the links of a host to all others in the directions that are false.
    pub fn isolate(&mut self, id: KeeperId, receives: bool, sends: bool) {
        for other in self.hosts.keys().copied().collect::<Vec<_>>() {
            if !receives {
                self.cut_links.insert((other, id));
            }
            if !sends {
                self.cut_links.insert((id, other));
            }
        }
    }

    pub fn cut(&mut self, from: u32, to: u32) {
        self.cut_links.insert((KeeperId(from), KeeperId(to)));
    }

    /// Returns the primary of the highest view among the hosts that run and are not frozen.
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
        let size = self
            .rng
            .random_range(self.max_payload_bytes / 2..self.max_payload_bytes);
        let payload = vec![self.requests as u8; size].into();
        self.handle_event(
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
        self.requested_changes.insert(id, members.clone());
        self.handle_event(to, Event::ChangeMembers { id, members });
        id
    }

    pub fn run(&mut self, ms: u64) {
        self.run_until(ms, |_| false);
    }

    /// Runs until the condition holds, for `ms` at most, and returns whether it held.
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
                let queued = entry.remove();
                self.deliver(queued);
            }
            self.tick();
        }
        done(self)
    }

    fn tick(&mut self) {
        let ids: Vec<KeeperId> = self.hosts.keys().copied().collect();
        for id in ids {
            if self.now % TICK_MS == u64::from(id.0) % TICK_MS {
                self.handle_event(id, Event::Tick);
            }
        }
        if self.now.is_multiple_of(TICK_MS) && self.primary().is_none() {
            self.ms_without_primary += TICK_MS;
        }
    }

    fn deliver(&mut self, queued: QueuedEvent) {
        let to = match &queued {
            QueuedEvent::Message(_, to, _) | QueuedEvent::Synced(to, ..) => *to,
        };
        let Some(host) = self.hosts.get_mut(&to) else {
            return;
        };
        if host.frozen_until > self.now {
            let at = host.frozen_until;
            self.schedule(at, queued);
            return;
        }
        match queued {
            QueuedEvent::Message(from, to, msg) => {
                self.handle_event(to, Event::Message { from, msg })
            }
            QueuedEvent::Synced(id, process_starts, upto, op) => {
                if host.process_starts == process_starts && host.replica.is_some() {
                    host.disk.durable_op = host.disk.durable_op.max(op);
                    self.handle_event(id, Event::Synced { upto });
                }
            }
        }
    }

    fn schedule(&mut self, at: u64, queued: QueuedEvent) {
        self.seq += 1;
        assert!(
            self.queue.len() < 20_000,
            "messages cause ever more messages"
        );
        self.queue.insert((at, self.seq), queued);
    }

    pub fn handle_event(&mut self, id: KeeperId, event: Event) {
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
        let host_now = Millis(now - host.clock_behind);
        let actions = replica.step(host_now, event);
        if replica.status().commit < before {
            self.violations
                .push(format!("{id}: the commit position decreased"));
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
            self.perform(id, action);
        }
        if crash {
            self.crash(id);
        }
    }

    fn perform(&mut self, id: KeeperId, action: Action) {
        let Some(host) = self.hosts.get_mut(&id) else {
            return;
        };
        match action {
            Action::Sync(token) => {
                let (process_starts, op) = (host.process_starts, host.disk.last());
                let at = self.now + self.rng.random_range(1..40);
                self.schedule(at, QueuedEvent::Synced(id, process_starts, token, op));
            }
            Action::Send { to, msg } => self.send(id, to, msg),
            Action::Apply { op, entry } => {
                host.apply(op, &entry);
                if self
                    .first_applied
                    .entry(op)
                    .or_insert_with(|| entry.clone())
                    != &entry
                {
                    let rule = format!("{id}: two values at {op}");
                    self.violations.push(rule);
                }
            }
            Action::Reply { request, result } => {
                self.results.insert(request, result);
                let change = self.requested_changes.contains_key(&request);
                if let (ProposeResult::Committed(op), false) = (result, change) {
                    self.accepted.insert(request, op);
                }
            }
            Action::ReadReady { token } => {
                self.ready_reads.insert(token, host.applied.0);
            }
            Action::ReadRefused { token, .. } => {
                self.refused_reads.insert(token);
            }
            Action::TakeSnapshot(meta) => {
                let snapshot = host.take_snapshot(meta);
                self.handle_event(id, Event::SnapshotTaken { snapshot });
            }
            other => self.violations.extend(host.store(other)),
        }
    }

    fn send(&mut self, from: KeeperId, to: KeeperId, msg: Message) {
        let needs_complete = matches!(msg, Message::VoteReply { .. } | Message::AppendReply { .. });
        if needs_complete && self.hosts.get(&from).is_some_and(|h| h.needs_recovery) {
            self.violations
                .push(format!("{from}: answered before it was complete"));
        }
        if self.max_payload_bytes > 60 || self.seq.is_multiple_of(50) {
            let bytes = rmp_serde::to_vec(&msg).expect("messages are encoded");
            let decoded: Message = rmp_serde::from_slice(&bytes).expect("messages are decoded");
            assert_eq!(decoded, msg);
            self.largest_message = self.largest_message.max(bytes.len());
        }
        if self.cut_links.contains(&(from, to))
            || self.rng.random_range(0..1000) < self.fault_rates.message_drop
        {
            return;
        }
        let copies =
            1 + u32::from(self.rng.random_range(0..1000) < self.fault_rates.message_duplicate);
        for _ in 0..copies {
            let slow = self.rng.random_range(0..1000) < self.fault_rates.message_delay;
            let delay = self.rng.random_range(1..if slow { 2000 } else { 25 });
            let at = self.now + delay;
            self.schedule(at, QueuedEvent::Message(from, to, msg.clone()));
        }
    }
}
