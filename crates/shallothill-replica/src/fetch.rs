//! State transfer by entries or by a snapshot in pieces, asked for by the receiver.

use shallothill_core::ids::KeeperId;
use shallothill_core::time::Millis;

use crate::action::Action;
use crate::bytes::Bytes;
use crate::entry::{Entry, LogPoint, View};
use crate::message::Message;
use crate::replica::Replica;
use crate::snapshot::{Snapshot, SnapshotMeta};

/// `Fetching` is a state transfer under way.
#[derive(Debug)]
pub(crate) struct Fetching {
    source: KeeperId,
    /// The end of the log that the transfer has to reach; `None` ends it after one snapshot.
    target: Option<LogPoint>,
    /// Whether to ask from the committed part on, because the end of the log did not fit.
    from_commit: bool,
    snapshot: Option<(SnapshotMeta, Vec<u8>)>,
    sent: Millis,
    /// When the transfer last brought something.
    progress: Millis,
}

impl Fetching {
    pub(crate) fn new(source: KeeperId, target: Option<LogPoint>, now: Millis) -> Self {
        Self {
            source,
            target,
            from_commit: target.is_none(),
            snapshot: None,
            sent: now,
            progress: now,
        }
    }

    pub(crate) fn source(&self) -> KeeperId {
        self.source
    }

    pub(crate) fn progress(&self) -> Millis {
        self.progress
    }
}

impl Replica {
    /// `ask_fetch` sends the next request of the transfer under way.
    pub(crate) fn ask_fetch(&mut self) {
        let (now, last, commit) = (self.now, self.log.last(), self.committed_point());
        let Some(fetching) = self.fetching.as_mut() else {
            return;
        };
        fetching.sent = now;
        let after = if fetching.from_commit { commit } else { last };
        let have = fetching.snapshot.as_ref();
        let snapshot = have.map(|(meta, bytes)| (meta.last, bytes.len() as u64));
        let to = fetching.source;
        self.send(to, Message::Fetch { after, snapshot });
    }

    pub(crate) fn tick_fetch(&mut self) {
        let patience = self.options.heartbeat * 3;
        let lost = |f: &Fetching| self.now >= f.sent + patience;
        if self.fetching.as_ref().is_some_and(lost) {
            self.ask_fetch();
        }
    }

    pub(crate) fn on_fetch(
        &mut self,
        from: KeeperId,
        after: LogPoint,
        snapshot: Option<(LogPoint, u64)>,
    ) {
        if !self.counts {
            return;
        }
        if after.op < self.log.base().op {
            self.send_chunk(from, snapshot);
            return;
        }
        let prev = Some(after).filter(|p| self.log.holds(*p));
        let entries = prev.map_or(Vec::new(), |p| {
            self.log.batch(p.op.next(), self.options.max_batch_bytes)
        });
        let msg = Message::FetchedEntries {
            view: self.hard.view,
            prev,
            entries,
            last: self.log.last(),
        };
        self.send(from, msg);
    }

    fn send_chunk(&mut self, to: KeeperId, have: Option<(LogPoint, u64)>) {
        let Some(snapshot) = self.log.snapshot() else {
            return;
        };
        let (meta, state) = (snapshot.meta.clone(), snapshot.state.clone());
        let same = have.filter(|(last, _)| *last == meta.last);
        let offset = same.map_or(0, |(_, offset)| offset);
        let start = usize::try_from(offset)
            .unwrap_or(usize::MAX)
            .min(state.len());
        let end = (start + self.options.chunk_bytes).min(state.len());
        let msg = Message::FetchedChunk {
            view: self.hard.view,
            meta,
            offset,
            total: state.len() as u64,
            piece: Bytes::from(&state[start..end]),
        };
        self.send(to, msg);
    }

    pub(crate) fn on_fetched(&mut self, from: KeeperId, msg: Message) {
        if self.fetching.as_ref().is_none_or(|f| f.source != from) {
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
        prev: Option<LogPoint>,
        entries: Vec<Entry>,
        last: LogPoint,
    ) {
        if self.counts && view > self.hard.view {
            self.adopt_view(view);
            return;
        }
        let prev = prev.filter(|p| self.log.holds(*p) && p.op >= self.commit);
        let now = self.now;
        let Some(fetching) = self.fetching.as_mut() else {
            return;
        };
        // A backup only asked for a snapshot; the primary sends it entries by itself.
        let Some(target) = fetching.target else {
            self.fetching = None;
            return;
        };
        let Some(prev) = prev else {
            // The committed part is a part of every later log, so the logs meet there.
            if !fetching.from_commit {
                fetching.from_commit = true;
                self.ask_fetch();
            }
            return;
        };
        fetching.progress = now;
        fetching.from_commit = false;
        fetching.snapshot = None;
        if !self.counts && entries.is_empty() && prev.op < self.log.last().op {
            self.log.truncate(prev.op);
            self.out.durable(Action::Truncate { after: prev.op });
        }
        self.take_entries(prev.op, entries);
        if self.log.last() < last {
            self.ask_fetch();
        } else if self.log.last() >= target {
            self.fetching = None;
            self.end_fetch(view);
        }
    }

    fn end_fetch(&mut self, view: View) {
        if self.counts {
            self.after_fetch();
        } else {
            self.recovered(view);
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
        let Some(fetching) = self.fetching.as_mut() else {
            return;
        };
        if meta.last.op <= commit {
            if fetching.target.is_none() {
                self.fetching = None;
            }
            return;
        }
        let same = fetching.snapshot.as_ref().is_some_and(|(m, _)| *m == meta);
        if !same {
            fetching.snapshot = Some((meta, Vec::new()));
        }
        let Some((_, bytes)) = fetching.snapshot.as_mut() else {
            return;
        };
        if bytes.len() as u64 != offset {
            return;
        }
        fetching.progress = now;
        bytes.extend_from_slice(piece);
        if (bytes.len() as u64) < total {
            self.ask_fetch();
            return;
        }
        if let Some((meta, bytes)) = fetching.snapshot.take() {
            let state = Bytes::from(bytes);
            self.install(Snapshot { meta, state });
        }
        self.after_install(view);
    }

    fn after_install(&mut self, view: View) {
        let Some(fetching) = self.fetching.as_mut() else {
            return;
        };
        fetching.from_commit = true;
        if fetching.target.is_some() {
            self.ask_fetch();
        } else {
            self.fetching = None;
            self.adopt_view(view);
        }
    }

    // The snapshot comes before the truncation: after a crash in between, the snapshot holds what
    // the dropped entries had acknowledged, see `replica::restore`.
    fn install(&mut self, snapshot: Snapshot) {
        let last = snapshot.meta.last;
        let longer = self.log.last().op > last.op;
        let follows = self.log.install(snapshot.clone());
        self.out.durable(Action::InstallSnapshot(snapshot));
        if longer && !follows {
            self.out.durable(Action::Truncate { after: last.op });
        }
        self.commit = last.op;
        self.applied = last.op;
        self.snapshot_asked = false;
    }
}
