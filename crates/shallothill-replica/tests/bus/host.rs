//! One host of the bus: a simulated disk, the state machine and the replica.

use std::collections::BTreeMap;

use shallothill_core::ids::KeeperId;
use shallothill_core::time::Millis;
use shallothill_replica::{
    Action, Content, DurableState, Entry, HardState, MemberState, Op, Replica, ReplicaOptions,
    RequestId, Snapshot, SnapshotMeta,
};

/// What a disk holds; entries after `durable` are lost in a crash.
#[derive(Default)]
pub struct Disk {
    pub hard_state: Option<HardState>,
    pub snapshot: Option<Snapshot>,
    pub entries: Vec<Entry>,
    pub durable: Op,
    pub repaired: bool,
}

impl Disk {
    fn start(&self) -> Op {
        self.snapshot.as_ref().map_or(Op(0), |s| s.meta.last.op)
    }

    pub fn last(&self) -> Op {
        Op(self.start().0 + self.entries.len() as u64)
    }

    fn truncate(&mut self, after: Op) {
        let keep = after.0.saturating_sub(self.start().0) as usize;
        self.entries.truncate(keep);
    }

    fn replace_start(&mut self, snapshot: Snapshot) {
        let drop = (snapshot.meta.last.op.0 - self.start().0) as usize;
        self.entries.drain(..drop.min(self.entries.len()));
        self.snapshot = Some(snapshot);
        self.durable = self.last();
    }
}

pub struct Host {
    pub options: ReplicaOptions,
    pub disk: Disk,
    pub replica: Option<Replica>,
    pub life: u64,
    pub frozen_until: u64,
    pub applied: Op,
    /// The request applied at each position.
    pub machine: BTreeMap<Op, RequestId>,
    /// The disk was lost and the replica is not whole yet.
    pub must_recover: bool,
    /// What was accepted when the disk was lost.
    accepted_at_loss: Op,
}

impl Host {
    pub fn new(options: ReplicaOptions) -> Self {
        Self {
            must_recover: !options.create_group,
            options,
            disk: Disk::default(),
            replica: None,
            life: 0,
            frozen_until: 0,
            applied: Op(0),
            machine: BTreeMap::new(),
            accepted_at_loss: Op(0),
        }
    }

    pub fn start(&mut self, seed: u64, now: Millis) {
        self.options.seed = seed;
        let d = &self.disk;
        let (snapshot, entries) = (d.snapshot.clone(), d.entries.clone());
        let durable = DurableState::from_disk(d.hard_state.clone(), !d.repaired, snapshot, entries);
        if durable.hard_state.is_none() {
            self.disk = Disk::default();
        }
        self.restore_machine();
        self.life += 1;
        self.replica = Replica::try_new(self.options.clone(), durable, now).ok();
    }

    pub fn crash(&mut self, keep: usize) {
        let after = Op(self.disk.durable.0 + keep as u64);
        self.disk.truncate(after);
        self.disk.durable = self.disk.last();
        self.replica = None;
        self.frozen_until = 0;
    }

    pub fn lose_disk(&mut self, accepted: Op) {
        self.disk = Disk::default();
        self.must_recover = true;
        self.accepted_at_loss = accepted;
    }

    pub fn members(&self) -> Option<Vec<KeeperId>> {
        let of_entry = |e: &Entry| match &e.content {
            Content::Members { members, .. } => Some(members.clone()),
            _ => None,
        };
        let newest = self.disk.entries.iter().rev().find_map(of_entry);
        let snapshot = self.disk.snapshot.as_ref();
        let hard = self
            .disk
            .hard_state
            .as_ref()
            .filter(|h| h.member_state == MemberState::Complete);
        newest
            .or_else(|| snapshot.map(|s| s.meta.members.clone()))
            .or_else(|| hard.map(|h| h.first_members.clone()))
    }

    fn restore_machine(&mut self) {
        self.applied = self.disk.start();
        let state = self.disk.snapshot.as_ref().map(|s| &s.state[..]);
        let machine = state.and_then(|s| rmp_serde::from_slice(s).ok());
        self.machine = machine.unwrap_or_default();
    }

    pub fn apply(&mut self, op: Op, entry: &Entry) {
        assert_eq!(op, self.applied.next(), "entries are applied without gaps");
        self.applied = op;
        match &entry.content {
            Content::Noop => {}
            Content::Request(r) => {
                self.machine.insert(op, r.id);
            }
            Content::Members { id, .. } => {
                self.machine.insert(op, *id);
            }
        }
    }

    pub fn take_snapshot(&mut self, meta: SnapshotMeta) -> Snapshot {
        assert_eq!(meta.last.op, self.applied);
        let state = rmp_serde::to_vec(&self.machine).unwrap_or_default().into();
        let snapshot = Snapshot { meta, state };
        self.disk.replace_start(snapshot.clone());
        snapshot
    }

    /// Stores what an action brings; returns the rules that it breaks.
    pub fn store(&mut self, action: Action) -> Vec<String> {
        match action {
            Action::Append { first, entries } => {
                assert_eq!(first, self.disk.last().next(), "no gaps on disk");
                self.disk.entries.extend(entries);
            }
            Action::Truncate { after } => {
                self.disk.truncate(after);
                self.disk.durable = self.disk.last();
            }
            Action::InstallSnapshot(snapshot) => {
                self.disk.replace_start(snapshot);
                self.restore_machine();
            }
            Action::SaveState(hard) => return self.save(hard),
            other => return vec![format!("not a disk action: {other:?}")],
        }
        Vec::new()
    }

    fn save(&mut self, hard: HardState) -> Vec<String> {
        let whole = hard.member_state == MemberState::Complete;
        self.disk.repaired |= whole;
        self.disk.hard_state = Some(hard);
        let complete = self.disk.durable >= self.accepted_at_loss;
        if whole && std::mem::take(&mut self.must_recover) && !complete {
            let me = self.options.me;
            return vec![format!("{me}: counts as whole without accepted entries")];
        }
        Vec::new()
    }
}
