//! State transfer, which the receiver requests, by entries or by chunks of a snapshot.

use shallothill_core::ids::KeeperId;
use shallothill_core::time::Millis;

use crate::action::Action;
use crate::bytes::Bytes;
use crate::entry::{Entry, EntryId, View};
use crate::message::Message;
use crate::replica::Replica;
use crate::snapshot::{Snapshot, SnapshotMeta};

/// `StateTransfer` is the receiver's state of a transfer in progress.
#[derive(Debug)]
pub(crate) struct StateTransfer {
    source: KeeperId,
    /// The entry that the log has to reach; `None` ends the transfer after one snapshot.
    target: Option<EntryId>,
    /// Whether requests continue after the last committed entry, because the source does not hold
    /// the end of the log.
    from_commit: bool,
    /// The snapshot in transfer and its bytes received so far.
    snapshot: Option<(SnapshotMeta, Vec<u8>)>,
    sent_at: Millis,
    /// When entries or a chunk last arrived.
    progress_at: Millis,
}

impl StateTransfer {
    pub(crate) fn new(source: KeeperId, target: Option<EntryId>, now: Millis) -> Self {
        Self {
            source,
            target,
            from_commit: target.is_none(),
            snapshot: None,
            sent_at: now,
            progress_at: now,
        }
    }

    pub(crate) fn source(&self) -> KeeperId {
        self.source
    }

    pub(crate) fn progress_at(&self) -> Millis {
        self.progress_at
    }
}

impl Replica {
    /// `send_fetch` sends the next request of the transfer in progress.
    pub(crate) fn send_fetch(&mut self) {
        let (now, last, commit) = (self.now, self.log.last(), self.last_committed());
        let Some(transfer) = self.transfer.as_mut() else {
            return;
        };
        transfer.sent_at = now;
        let after = if transfer.from_commit { commit } else { last };
        let partial = transfer.snapshot.as_ref();
        let snapshot = partial.map(|(meta, bytes)| (meta.last, bytes.len() as u64));
        let to = transfer.source;
        self.send(to, Message::Fetch { after, snapshot });
    }

    pub(crate) fn tick_transfer(&mut self) {
        let retry_interval = self.options.heartbeat * 3;
        let lost = |t: &StateTransfer| self.now >= t.sent_at + retry_interval;
        if self.transfer.as_ref().is_some_and(lost) {
            self.send_fetch();
        }
    }

    pub(crate) fn on_fetch(
        &mut self,
        from: KeeperId,
        after: EntryId,
        snapshot: Option<(EntryId, u64)>,
    ) {
        if !self.can_vote {
            return;
        }
        if after.op < self.log.base().op {
            self.send_snapshot_chunk(from, snapshot);
            return;
        }
        let prev = Some(after).filter(|p| self.log.contains(*p));
        let entries = prev.map_or(Vec::new(), |p| {
            self.log.batch(p.op.next(), self.options.max_batch_bytes)
        });
        let msg = Message::FetchedEntries {
            view: self.hard_state.view,
            prev,
            entries,
            last: self.log.last(),
        };
        self.send(from, msg);
    }

    fn send_snapshot_chunk(&mut self, to: KeeperId, received: Option<(EntryId, u64)>) {
        let Some(snapshot) = self.log.snapshot() else {
            return;
        };
        let (meta, state) = (snapshot.meta.clone(), snapshot.state.clone());
        let same = received.filter(|(last, _)| *last == meta.last);
        let offset = same.map_or(0, |(_, offset)| offset);
        let start = usize::try_from(offset)
            .unwrap_or(usize::MAX)
            .min(state.len());
        let end = (start + self.options.snapshot_chunk_bytes).min(state.len());
        let msg = Message::FetchedChunk {
            view: self.hard_state.view,
            meta,
            offset,
            total: state.len() as u64,
            piece: Bytes::from(&state[start..end]),
        };
        self.send(to, msg);
    }

    pub(crate) fn on_fetched(&mut self, from: KeeperId, msg: Message) {
        if self.transfer.as_ref().is_none_or(|t| t.source != from) {
            return;
        }
        match msg {
            Message::FetchedEntries {
                view,
                prev,
                entries,
                last,
            } => self.on_fetched_entries(view, prev, entries, last),
            Message::FetchedChunk {
                view,
                meta,
                offset,
                total,
                piece,
            } => self.on_fetched_chunk(view, meta, offset, total, &piece),
            _ => {}
        }
    }

    fn on_fetched_entries(
        &mut self,
        view: View,
        prev: Option<EntryId>,
        entries: Vec<Entry>,
        last: EntryId,
    ) {
        if self.can_vote && view > self.hard_state.view {
            self.adopt_view(view);
            return;
        }
        let prev = prev.filter(|p| self.log.contains(*p) && p.op >= self.commit);
        let now = self.now;
        let Some(transfer) = self.transfer.as_mut() else {
            return;
        };
        // A backup without a target requested only a snapshot; the primary sends entries
        // unrequested.
        let Some(target) = transfer.target else {
            self.transfer = None;
            return;
        };
        let Some(prev) = prev else {
            // Every more complete log holds the committed entries, so both logs match there.
            if !transfer.from_commit {
                transfer.from_commit = true;
                self.send_fetch();
            }
            return;
        };
        transfer.progress_at = now;
        transfer.from_commit = false;
        transfer.snapshot = None;
        if !self.can_vote && entries.is_empty() && prev.op < self.log.last().op {
            self.log.truncate(prev.op);
            self.outbox
                .push_durable(Action::Truncate { after: prev.op });
        }
        self.reconcile_entries(prev.op, entries);
        if self.log.last() < last {
            self.send_fetch();
        } else if self.log.last() >= target {
            self.transfer = None;
            self.finish_transfer(view);
        }
    }

    fn finish_transfer(&mut self, view: View) {
        if self.can_vote {
            self.resume_view_change();
        } else {
            self.finish_recovery(view);
        }
    }

    fn on_fetched_chunk(
        &mut self,
        view: View,
        meta: SnapshotMeta,
        offset: u64,
        total: u64,
        piece: &[u8],
    ) {
        let now = self.now;
        let commit = self.commit;
        let Some(transfer) = self.transfer.as_mut() else {
            return;
        };
        if meta.last.op <= commit {
            if transfer.target.is_none() {
                self.transfer = None;
            }
            return;
        }
        let same = transfer.snapshot.as_ref().is_some_and(|(m, _)| *m == meta);
        if !same {
            transfer.snapshot = Some((meta, Vec::new()));
        }
        let Some((_, bytes)) = transfer.snapshot.as_mut() else {
            return;
        };
        if bytes.len() as u64 != offset {
            return;
        }
        transfer.progress_at = now;
        bytes.extend_from_slice(piece);
        if (bytes.len() as u64) < total {
            self.send_fetch();
            return;
        }
        if let Some((meta, bytes)) = transfer.snapshot.take() {
            let state = Bytes::from(bytes);
            self.install_snapshot(Snapshot { meta, state });
        }
        self.continue_after_install(view);
    }

    fn continue_after_install(&mut self, view: View) {
        let Some(transfer) = self.transfer.as_mut() else {
            return;
        };
        transfer.from_commit = true;
        if transfer.target.is_some() {
            self.send_fetch();
        } else {
            self.transfer = None;
            self.adopt_view(view);
        }
    }

    // The snapshot is installed before the truncation: after a crash in between, the snapshot holds
    // every entry that was acknowledged with the removed ones, see `replica::restore`.
    fn install_snapshot(&mut self, snapshot: Snapshot) {
        let last = snapshot.meta.last;
        let longer = self.log.last().op > last.op;
        let follows = self.log.install_snapshot(snapshot.clone());
        self.outbox.push_durable(Action::InstallSnapshot(snapshot));
        if longer && !follows {
            self.outbox
                .push_durable(Action::Truncate { after: last.op });
        }
        self.commit = last.op;
        self.applied = last.op;
        self.snapshot_requested = false;
    }
}
