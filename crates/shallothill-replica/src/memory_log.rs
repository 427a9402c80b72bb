//! The part of the log that is held in memory.

use std::collections::VecDeque;

use shallothill_core::ids::KeeperId;

use crate::entry::{Content, Entry, EntryId, Op};
use crate::snapshot::Snapshot;

/// `MemoryLog` holds the last snapshot and the entries from a little before it to the end.
#[derive(Debug, Default)]
pub(crate) struct MemoryLog {
    snapshot: Option<Snapshot>,
    base: EntryId,
    entries: VecDeque<Entry>,
    /// Each list of members with the position from which it is in force, in order of positions;
    /// never empty.
    members: Vec<(Op, Vec<KeeperId>)>,
}

impl MemoryLog {
    /// `new` returns a log that starts from `snapshot`, or an empty log with `first_members`.
    pub(crate) fn new(first_members: Vec<KeeperId>, snapshot: Option<Snapshot>) -> Self {
        let mut log = Self {
            members: vec![(Op(0), first_members)],
            ..Self::default()
        };
        if let Some(snapshot) = snapshot {
            log.install_snapshot(snapshot);
        }
        log
    }

    pub(crate) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// `snapshot_end` returns the last entry that the snapshot includes; the default without one.
    pub(crate) fn snapshot_end(&self) -> EntryId {
        self.snapshot
            .as_ref()
            .map_or(EntryId::default(), |s| s.meta.last)
    }

    /// `base` returns the id of the entry that precedes the first one in memory.
    pub(crate) fn base(&self) -> EntryId {
        self.base
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// `last` returns the id of the last entry; of the base if no entry is in memory.
    pub(crate) fn last(&self) -> EntryId {
        let op = Op(self.base.op.0 + self.entries.len() as u64);
        self.entries
            .back()
            .map_or(self.base, |e| EntryId { view: e.view, op })
    }

    fn index(&self, op: Op) -> Option<usize> {
        let index = op.0.checked_sub(self.base.op.0 + 1)?;
        usize::try_from(index).ok()
    }

    pub(crate) fn entry(&self, op: Op) -> Option<&Entry> {
        self.entries.get(self.index(op)?)
    }

    /// `entry_id` returns the id of the entry at `op` if that entry is in memory or is the base.
    pub(crate) fn entry_id(&self, op: Op) -> Option<EntryId> {
        if op == self.base.op {
            return Some(self.base);
        }
        self.entry(op).map(|e| EntryId { view: e.view, op })
    }

    /// `contains` returns whether the log holds an entry with the same position and view.
    pub(crate) fn contains(&self, id: EntryId) -> bool {
        self.entry_id(id.op) == Some(id)
    }

    /// `batch` returns the entries from `first` on, up to `max_bytes` in total, but at least one if
    /// there is any.
    pub(crate) fn batch(&self, first: Op, max_bytes: usize) -> Vec<Entry> {
        let mut entries = Vec::new();
        let mut bytes = 0;
        let start = self.index(first).unwrap_or(usize::MAX);
        for entry in self.entries.iter().skip(start) {
            bytes += entry.size();
            if bytes > max_bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }

    /// `append` adds an entry at the end and returns its position.
    pub(crate) fn append(&mut self, entry: Entry) -> Op {
        let op = self.last().op.next();
        if let Content::Members { members, .. } = &entry.content {
            self.members.push((op, members.clone()));
        }
        self.entries.push_back(entry);
        op
    }

    /// `truncate` removes the entries after `after`.
    pub(crate) fn truncate(&mut self, after: Op) {
        let keep = self.index(after.next()).unwrap_or(0);
        self.entries.truncate(keep);
        self.members.retain(|(op, _)| *op <= after || op.0 == 0);
    }

    /// `members` returns the members in force, whether their entry is committed or not.
    pub(crate) fn members(&self) -> &[KeeperId] {
        self.members.last().map_or(&[], |(_, m)| m)
    }

    /// `members_since` returns the position of the entry that put the members in force.
    pub(crate) fn members_since(&self) -> Op {
        self.members.last().map_or(Op(0), |(op, _)| *op)
    }

    /// `members_at` returns the members that are in force after the entry at `op`.
    pub(crate) fn members_at(&self, op: Op) -> Vec<KeeperId> {
        let at = self.members.iter().rev().find(|(since, _)| *since <= op);
        at.map_or(Vec::new(), |(_, m)| m.clone())
    }

    /// `set_first_members` sets the members before the first entry.
    pub(crate) fn set_first_members(&mut self, members: Vec<KeeperId>) {
        if let Some(first) = self.members.first_mut().filter(|(op, _)| op.0 == 0) {
            first.1 = members;
        }
    }

    /// `compact` stores a snapshot of the own state machine and removes the entries before it,
    /// except for the last `trailing_entries`.
    pub(crate) fn compact(&mut self, snapshot: Snapshot, trailing_entries: u64) {
        let at = snapshot.meta.last.op;
        let base = Op(at.0.saturating_sub(trailing_entries));
        if let Some(id) = self.entry_id(base).filter(|p| p.op > self.base.op) {
            self.entries.drain(..(id.op.0 - self.base.op.0) as usize);
            self.base = id;
        }
        let old = self.members.iter().filter(|(op, _)| *op <= self.base.op);
        let drop = old.count().saturating_sub(1);
        self.members.drain(..drop);
        self.snapshot = Some(snapshot);
    }

    /// `install_snapshot` replaces the prefix of the log by a snapshot of another replica. It keeps
    /// the entries after the snapshot only if they continue it, and returns whether they do.
    pub(crate) fn install_snapshot(&mut self, snapshot: Snapshot) -> bool {
        let last = snapshot.meta.last;
        let follows = self.contains(last);
        if follows {
            self.entries.drain(..(last.op.0 - self.base.op.0) as usize);
            self.members.retain(|(op, _)| *op > last.op);
            self.members
                .insert(0, (last.op, snapshot.meta.members.clone()));
        } else {
            self.entries.clear();
            self.members = vec![(last.op, snapshot.meta.members.clone())];
        }
        self.base = last;
        self.snapshot = Some(snapshot);
        follows
    }
}
