//! A backup's part of normal operation.

use shallothill_core::ids::KeeperId;

use crate::action::Action;
use crate::entry::{Entry, LogPoint, Op, View};
use crate::fetch::Fetching;
use crate::message::{AppendOutcome, Message};
use crate::outbox::Deferred;
use crate::replica::Replica;
use crate::snapshot::SnapshotMeta;

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
        if !self.hear_primary(from, view) {
            return;
        }
        let outcome = if prev.op > self.log.last().op {
            AppendOutcome::Behind(self.log.last().op)
        } else if prev.op >= self.log.base().op && !self.log.holds(prev) {
            AppendOutcome::Behind(self.before_conflict(prev.op))
        } else {
            let end = Op(prev.op.0 + entries.len() as u64);
            self.take_entries(prev.op, entries);
            if self.options.broken.commit_may_fall {
                self.commit = commit.min(end);
            }
            self.commit_to(commit.min(end));
            AppendOutcome::Matches(end)
        };
        let msg = Message::AppendReply {
            view,
            round,
            outcome,
            incarnation: self.hard.incarnation,
            known: self.hard.known.clone(),
        };
        self.out.after_sync(Deferred::Send {
            to: from,
            view: Some(view),
            msg,
        });
    }

    /// `hear_primary` follows the primary of `view` and tells whether its message is current.
    fn hear_primary(&mut self, from: KeeperId, view: View) -> bool {
        if view < self.hard.view {
            let view = self.hard.view;
            self.send(from, Message::HigherView { view });
            return false;
        }
        self.adopt_view(view);
        if self.leading.is_some() {
            return false;
        }
        if self.primary != Some(from) {
            self.step_down();
            self.primary = Some(from);
        }
        self.ballot = None;
        self.heard = self.now;
        self.reset_deadline();
        true
    }

    // Steps over all entries of the conflicting view at once, so that a long stale tail costs one
    // message for each view and not for each entry.
    fn before_conflict(&self, op: Op) -> Op {
        let conflicting = self.log.point(op).map(|p| p.view);
        let mut hint = op.prev();
        while hint > self.commit && self.log.point(hint).map(|p| p.view) == conflicting {
            hint = hint.prev();
        }
        hint.max(self.commit)
    }

    /// `take_entries` makes the log equal to `entries` after `prev`, which the log holds. Entries
    /// that are already there stay, so late and repeated messages change nothing.
    pub(crate) fn take_entries(&mut self, prev: Op, entries: Vec<Entry>) {
        let mut op = prev;
        let mut entries = entries.into_iter().peekable();
        while let Some(entry) = entries.peek() {
            let next = op.next();
            let present = self.log.point(next).map(|p| p.view) == Some(entry.view);
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
            tracing::error!("replica: refused entries that contradict committed ones after {op}");
            return;
        }
        if op < self.log.last().op {
            self.log.truncate(op);
            self.out.durable(Action::Truncate { after: op });
        }
        for entry in &rest {
            self.log.append(entry.clone());
        }
        self.out.durable(Action::Append {
            first: op.next(),
            entries: rest,
        });
    }

    pub(crate) fn on_snapshot_offer(&mut self, from: KeeperId, view: View, meta: SnapshotMeta) {
        if !self.hear_primary(from, view) || meta.last.op <= self.commit {
            return;
        }
        if self.fetching.as_ref().is_none_or(|f| f.source() != from) {
            self.fetching = Some(Fetching::new(from, None, self.now));
            self.ask_fetch();
        }
    }

    /// `committed_point` returns the last entry that is known to be committed.
    pub(crate) fn committed_point(&self) -> LogPoint {
        let point = self.log.point(self.commit);
        point.unwrap_or(self.log.base())
    }
}
