//! One simulated host: a disk, a state machine and a replica.

use std::collections::BTreeMap;

use shallothill_core::ids::KeeperId;
use shallothill_core::time::Millis;
use shallothill_replica::{
    Action, Content, DurableState, Entry, HardState, MemberState, Op, Replica, ReplicaOptions,
    RequestId, Snapshot, SnapshotMeta,
};

/// The content of a disk; a crash removes entries after `durable_op`, except for a random few.
#[derive(Default)]
pub struct Disk {
    pub hard_state: Option<HardState>,
    pub snapshot: Option<Snapshot>,
    pub entries: Vec<Entry>,
    pub durable_op: Op,
    pub log_repaired: bool,
}

impl Disk {
    fn start_op(&self) -> Op {
        self.snapshot.as_ref().map_or(Op(0), |s| s.meta.last.op)
    }

    pub fn last(&self) -> Op {
        Op(self.start_op().0 + self.entries.len() as u64)
    }

    fn truncate(&mut self, after: Op) {
        let keep = after.0.saturating_sub(self.start_op().0) as usize;
        self.entries.truncate(keep);
    }

    fn install_snapshot(&mut self, snapshot: Snapshot) {
        let drop = (snapshot.meta.last.op.0 - self.start_op().0) as usize;
        self.entries.drain(..drop.min(self.entries.len()));
        self.snapshot = Some(snapshot);
        self.durable_op = self.last();
    }
}

pub struct Host {
    pub options: ReplicaOptions,
    pub disk: Disk,
    pub replica: Option<Replica>,
    /// The number of starts of the process, which tells its syncs from those of earlier ones.
    pub process_starts: u64,
    /// The time in ms until which the host handles no event.
    pub frozen_until: u64,
    /// By how many ms the clock of the host is behind.
    pub clock_behind: u64,
    pub applied: Op,
    /// The id of the request that was applied at each position.
    pub state_machine: BTreeMap<Op, RequestId>,
    /// The disk was lost or is new, and the replica is not complete yet.
    pub needs_recovery: bool,
    /// The highest accepted position when the disk was lost.
    accepted_at_loss: Op,
}

impl Host {
    pub fn new(options: ReplicaOptions) -> Self {
        Self {
            needs_recovery: !options.create_group,
            options,
            disk: Disk::default(),
            replica: None,
            process_starts: 0,
            frozen_until: 0,
            clock_behind: 0,
            applied: Op(0),
            state_machine: BTreeMap::new(),
            accepted_at_loss: Op(0),
        }
    }

    pub fn start(&mut self, seed: u64, now: Millis) {
        self.options.seed = seed;
        let d = &self.disk;
        let (snapshot, entries) = (d.snapshot.clone(), d.entries.clone());
        let durable =
            DurableState::from_disk(d.hard_state.clone(), !d.log_repaired, snapshot, entries);
        if durable.hard_state.is_none() {
            self.disk = Disk::default();
        }
        self.restore_state_machine();
        self.process_starts += 1;
        self.replica = Replica::try_new(self.options.clone(), durable, now).ok();
    }

    /// Ends the process; the disk keeps at most `keep_unsynced` entries that were not synced.
    pub fn crash(&mut self, keep_unsynced: usize) {
        let after = Op(self.disk.durable_op.0 + keep_unsynced as u64);
        self.disk.truncate(after);
        self.disk.durable_op = self.disk.last();
        self.replica = None;
        self.frozen_until = 0;
    }

    pub fn lose_disk(&mut self, accepted: Op) {
        self.disk = Disk::default();
        self.needs_recovery = true;
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

    fn restore_state_machine(&mut self) {
        self.applied = self.disk.start_op();
        let state = self.disk.snapshot.as_ref().map(|s| &s.state[..]);
        let machine = state.and_then(|s| rmp_serde::from_slice(s).ok());
        self.state_machine = machine.unwrap_or_default();
    }

    pub fn apply(&mut self, op: Op, entry: &Entry) {
        assert_eq!(op, self.applied.next(), "entries are applied without gaps");
        self.applied = op;
        match &entry.content {
            Content::Noop => {}
            Content::Request(r) => {
                self.state_machine.insert(op, r.id);
            }
            Content::Members { id, .. } => {
                self.state_machine.insert(op, *id);
            }
        }
    }

    pub fn take_snapshot(&mut self, meta: SnapshotMeta) -> Snapshot {
        assert_eq!(meta.last.op, self.applied);
        let state = rmp_serde::to_vec(&self.state_machine)
            .unwrap_or_default()
            .into();
        let snapshot = Snapshot { meta, state };
        self.disk.install_snapshot(snapshot.clone());
        snapshot
    }

    /// Performs an action on the disk; returns the invariants that it violates.
    pub fn store(&mut self, action: Action) -> Vec<String> {
        match action {
            Action::Append { first, entries } => {
                assert_eq!(first, self.disk.last().next(), "no gaps on disk");
                self.disk.entries.extend(entries);
            }
            Action::Truncate { after } => {
                self.disk.truncate(after);
                self.disk.durable_op = self.disk.last();
            }
            Action::InstallSnapshot(snapshot) => {
                self.disk.install_snapshot(snapshot);
                self.restore_state_machine();
            }
            Action::SaveState(hard_state) => return self.save(hard_state),
            other => return vec![format!("not a disk action: {other:?}")],
        }
        Vec::new()
    }

    fn save(&mut self, hard_state: HardState) -> Vec<String> {
        let saved_as_complete = hard_state.member_state == MemberState::Complete;
        self.disk.log_repaired |= saved_as_complete;
        self.disk.hard_state = Some(hard_state);
        let holds_accepted = self.disk.durable_op >= self.accepted_at_loss;
        if saved_as_complete && std::mem::take(&mut self.needs_recovery) && !holds_accepted {
            let me = self.options.me;
            return vec![format!("{me}: is complete without accepted entries")];
        }
        Vec::new()
    }
}
