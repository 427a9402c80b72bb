//! The part of the log that is held in memory.

use std::collections::VecDeque;

use shallothill_core::ids::KeeperId;

use crate::entry::{Content, Entry, LogPoint, Op};
use crate::snapshot::Snapshot;

/// `MemoryLog` holds the last snapshot and the entries from a little before it to the end.
#[derive(Debug, Default)]
pub(crate) struct MemoryLog {
    snapshot: Option<Snapshot>,
    base: LogPoint,
    entries: VecDeque<Entry>,
    /// The members from each position on, by position; never empty.
    members: Vec<(Op, Vec<KeeperId>)>,
}

impl MemoryLog {
    /// `new` returns a log that starts from `snapshot`, or empty with `first_members`.
    pub(crate) fn new(first_members: Vec<KeeperId>, snapshot: Option<Snapshot>) -> Self {
        let mut log = Self {
            members: vec![(Op(0), first_members)],
            ..Self::default()
        };
        if let Some(snapshot) = snapshot {
            log.install(snapshot);
        }
        log
    }

    pub(crate) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// `snapshot_point` returns the last entry that the snapshot includes.
    pub(crate) fn snapshot_point(&self) -> LogPoint {
        self.snapshot
            .as_ref()
            .map_or(LogPoint::default(), |s| s.meta.last)
    }

    /// `base` returns the entry before the first one in memory.
    pub(crate) fn base(&self) -> LogPoint {
        self.base
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// `last` returns the end of the log.
    pub(crate) fn last(&self) -> LogPoint {
        let op = Op(self.base.op.0 + self.entries.len() as u64);
        self.entries
            .back()
            .map_or(self.base, |e| LogPoint { view: e.view, op })
    }

    fn index(&self, op: Op) -> Option<usize> {
        let index = op.0.checked_sub(self.base.op.0 + 1)?;
        usize::try_from(index).ok()
    }

    /// `entry` returns the entry at `op` if it is in memory.
    pub(crate) fn entry(&self, op: Op) -> Option<&Entry> {
        self.entries.get(self.index(op)?)
    }

    /// `point` returns the view and position of the entry at `op`, also for the base.
    pub(crate) fn point(&self, op: Op) -> Option<LogPoint> {
        if op == self.base.op {
            return Some(self.base);
        }
        self.entry(op).map(|e| LogPoint { view: e.view, op })
    }

    /// `holds` tells whether the log contains exactly this entry.
    pub(crate) fn holds(&self, point: LogPoint) -> bool {
        self.point(point.op) == Some(point)
    }

    /// `batch` returns entries from `first` on, at least one if there is any, up to `max_bytes`.
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

    /// `append` adds an entry and returns its position.
    pub(crate) fn append(&mut self, entry: Entry) -> Op {
        let op = self.last().op.next();
        if let Content::Members { members, .. } = &entry.content {
            self.members.push((op, members.clone()));
        }
        self.entries.push_back(entry);
        op
    }

    /// `truncate` drops the entries after `after`.
    pub(crate) fn truncate(&mut self, after: Op) {
        let keep = self.index(after.next()).unwrap_or(0);
        self.entries.truncate(keep);
        self.members.retain(|(op, _)| *op <= after || op.0 == 0);
    }

    /// `members` returns the members in force, committed or not.
    pub(crate) fn members(&self) -> &[KeeperId] {
        self.members.last().map_or(&[], |(_, m)| m)
    }

    /// `members_since` returns the position from which the members are in force.
    pub(crate) fn members_since(&self) -> Op {
        self.members.last().map_or(Op(0), |(op, _)| *op)
    }

    /// `members_at` returns the members after the entry at `op`.
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

    /// `snapshot_taken` notes a snapshot of the own state and drops the entries of which more than
    /// `keep_behind` others lie before it.
    pub(crate) fn snapshot_taken(&mut self, snapshot: Snapshot, keep_behind: u64) {
        let at = snapshot.meta.last.op;
        let base = Op(at.0.saturating_sub(keep_behind));
        if let Some(point) = self.point(base).filter(|p| p.op > self.base.op) {
            self.entries.drain(..(point.op.0 - self.base.op.0) as usize);
            self.base = point;
        }
        let old = self.members.iter().filter(|(op, _)| *op <= self.base.op);
        let drop = old.count().saturating_sub(1);
        self.members.drain(..drop);
        self.snapshot = Some(snapshot);
    }

    /// `install` replaces the log by a snapshot of another replica and tells whether the entries
    /// after it were kept, because they follow it.
    pub(crate) fn install(&mut self, snapshot: Snapshot) -> bool {
        let last = snapshot.meta.last;
        let follows = self.holds(last);
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
