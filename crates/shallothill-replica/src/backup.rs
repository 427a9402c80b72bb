//! Replication at a backup: appends from the primary and offers of snapshots.

use shallothill_core::ids::KeeperId;

use crate::action::Action;
use crate::entry::{Entry, EntryId, Op, View};
use crate::message::{AppendOutcome, Message};
use crate::outbox::Deferred;
use crate::replica::Replica;
use crate::snapshot::SnapshotMeta;
use crate::state_transfer::StateTransfer;

impl Replica {
    pub(crate) fn on_append(&mut self, from: KeeperId, msg: Message) {
        let Message::Append {
            view,
            round,
            prev,
            entries,
            commit,
        } = msg
        else {
            return;
        };
        if !self.follow_primary(from, view) {
            return;
        }
        let outcome = if prev.op > self.log.last().op {
            AppendOutcome::Behind(self.log.last().op)
        } else if prev.op >= self.log.base().op && !self.log.contains(prev) {
            AppendOutcome::Behind(self.conflict_hint(prev.op))
        } else {
            let end = Op(prev.op.0 + entries.len() as u64);
            self.reconcile_entries(prev.op, entries);
            if self.options.protocol_faults.commit_may_regress {
                self.commit = commit.min(end);
            }
            self.commit_to(commit.min(end));
            AppendOutcome::Matches(end)
        };
        let msg = Message::AppendReply {
            view,
            round,
            outcome,
            incarnation: self.hard_state.incarnation,
            known_incarnations: self.hard_state.known_incarnations.clone(),
        };
        self.outbox.after_sync(Deferred::Send {
            to: from,
            view: Some(view),
            msg,
        });
    }

    /// `follow_primary` follows the sender as the primary of `view` and returns whether its message
    /// is current.
    fn follow_primary(&mut self, from: KeeperId, view: View) -> bool {
        if view < self.hard_state.view {
            let view = self.hard_state.view;
            self.send(from, Message::HigherView { view });
            return false;
        }
        self.adopt_view(view);
        if self.primary_state.is_some() {
            return false;
        }
        if self.primary != Some(from) {
            self.step_down();
            self.primary = Some(from);
        }
        self.ballot = None;
        self.primary_heard_at = self.now;
        self.reset_election_deadline();
        true
    }

    // Skips all entries of the conflicting view at once, so that a long stale tail costs one
    // message per view instead of one per entry.
    fn conflict_hint(&self, op: Op) -> Op {
        let conflicting = self.log.entry_id(op).map(|p| p.view);
        let mut hint = op.prev();
        while hint > self.commit && self.log.entry_id(hint).map(|p| p.view) == conflicting {
            hint = hint.prev();
        }
        hint.max(self.commit)
    }

    /// `reconcile_entries` makes the log after `prev` match `entries`; the log must hold `prev`.
    /// Matching entries stay, and so do entries after them, so late and duplicate messages have no
    /// effect.
    pub(crate) fn reconcile_entries(&mut self, prev: Op, entries: Vec<Entry>) {
        let mut op = prev;
        let mut entries = entries.into_iter().peekable();
        while let Some(entry) = entries.peek() {
            let next = op.next();
            let present = self.log.entry_id(next).map(|p| p.view) == Some(entry.view);
            if next > self.log.base().op && !present {
                break;
            }
            op = next;
            entries.next();
        }
        let rest: Vec<Entry> = entries.collect();
        if rest.is_empty() {
            return;
        }
        if op < self.commit {
            tracing::error!(
                "replica: rejected entries that contradict committed ones after {op}; report this \
                 fault"
            );
            return;
        }
        if op < self.log.last().op {
            self.log.truncate(op);
            self.outbox.push_durable(Action::Truncate { after: op });
        }
        for entry in &rest {
            self.log.append(entry.clone());
        }
        self.outbox.push_durable(Action::Append {
            first: op.next(),
            entries: rest,
        });
    }

    pub(crate) fn on_snapshot_offer(&mut self, from: KeeperId, view: View, meta: SnapshotMeta) {
        if !self.follow_primary(from, view) || meta.last.op <= self.commit {
            return;
        }
        if self.transfer.as_ref().is_none_or(|t| t.source() != from) {
            self.transfer = Some(StateTransfer::new(from, None, self.now));
            self.send_fetch();
        }
    }

    /// `last_committed` returns the last entry that this replica knows to be committed.
    pub(crate) fn last_committed(&self) -> EntryId {
        let id = self.log.entry_id(self.commit);
        id.unwrap_or(self.log.base())
    }
}
