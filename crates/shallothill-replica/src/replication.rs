//! The primary's part of normal operation.

use std::collections::BTreeMap;

use shallothill_core::ids::KeeperId;
use shallothill_core::incarnation::Incarnation;

use crate::action::{Action, ProposeResult};
use crate::entry::{Content, Entry, Op, Request, RequestId, View};
use crate::logs;
use crate::message::{AppendOutcome, Message};
use crate::replica::Replica;

impl Replica {
    pub(crate) fn tick_primary(&mut self) {
        let Some(leading) = self.leading.as_ref() else {
            return;
        };
        // Check-quorum: a primary that hears no majority may be unable to commit although its own
        // messages keep the others from electing another one.
        let limit = leading.heard + self.options.election_timeout;
        let alone = self.log.members() == [self.options.me];
        if self.now > limit && !alone && !self.options.broken.no_check_quorum {
            let silent = leading.behind_round(self.options.me, self.log.members());
            tracing::warn!(
                silent = logs::ids(&silent),
                members = logs::ids(self.log.members()),
                "replica: no majority of the members answers"
            );
            self.step_down();
            return;
        }
        if self.now >= leading.next_beat {
            self.beat();
        }
        self.expire_change();
    }

    /// `beat` starts a round and sends to every peer.
    pub(crate) fn beat(&mut self) {
        let now = self.now;
        let Some(leading) = self.leading.as_mut() else {
            return;
        };
        leading.round += 1;
        leading.rounds.push_back((leading.round, now));
        leading.next_beat = now + self.options.heartbeat;
        let peers: Vec<KeeperId> = leading.peers.keys().copied().collect();
        for to in peers {
            self.send_append(to, false);
        }
        self.count_rounds();
    }

    pub(crate) fn on_propose(&mut self, request: Request) {
        let id = request.id;
        if request.payload.len() > self.options.max_payload_bytes {
            self.reply(id, ProposeResult::Refused);
            return;
        }
        let Some(leading) = self.leading.as_ref() else {
            let primary = self.primary;
            self.reply(id, ProposeResult::NotPrimary { primary });
            return;
        };
        let snapshots = usize::try_from(self.options.snapshot_every * 4).unwrap_or(usize::MAX);
        let in_memory = snapshots.saturating_add(self.options.max_uncommitted);
        if leading.waiting.len() >= self.options.max_uncommitted || self.log.len() >= in_memory {
            self.reply(id, ProposeResult::Busy);
            return;
        }
        self.propose(id, Content::Request(request));
    }

    /// `propose` appends an entry, remembers whom to answer and sends it to the peers.
    pub(crate) fn propose(&mut self, id: RequestId, content: Content) {
        let view = self.hard.view;
        let op = self.append_own(Entry { view, content });
        if let Some(leading) = self.leading.as_mut() {
            leading.waiting.insert(op, id);
        }
        self.update_peers();
        self.send_entries();
    }

    pub(crate) fn reply(&mut self, request: RequestId, result: ProposeResult) {
        self.out.push(Action::Reply { request, result });
    }

    fn send_entries(&mut self) {
        let Some(leading) = self.leading.as_ref() else {
            return;
        };
        let ready = leading.peers.iter().filter(|(_, p)| !p.probing);
        let peers: Vec<KeeperId> = ready.map(|(k, _)| *k).collect();
        for to in peers {
            self.fill_pipeline(to);
        }
    }

    fn fill_pipeline(&mut self, to: KeeperId) {
        let last = self.log.last().op;
        while let Some(peer) = self.leading.as_ref().and_then(|l| l.peers.get(&to)) {
            if peer.probing || peer.in_flight >= self.options.max_in_flight || peer.next > last {
                return;
            }
            self.send_append(to, true);
        }
    }

    // A heartbeat goes out without entries; the answer to it shows whether a batch was lost.
    fn send_append(&mut self, to: KeeperId, with_entries: bool) {
        let now = self.now;
        let Some(leading) = self.leading.as_mut() else {
            return;
        };
        let round = leading.round;
        let Some(peer) = leading.peers.get_mut(&to) else {
            return;
        };
        let prev = self.log.point(peer.next.prev());
        let entries = if with_entries && prev.is_some() {
            self.log.batch(peer.next, self.options.max_batch_bytes)
        } else {
            Vec::new()
        };
        if with_entries {
            peer.probed = (now, peer.next);
        }
        if !entries.is_empty() {
            peer.next = Op(peer.next.0 + entries.len() as u64);
            peer.in_flight += 1;
        }
        if prev.is_none() {
            // The entries were dropped from memory while the peer lagged.
            peer.probing = true;
            self.offer_snapshot(to);
        }
        // A peer that needs a snapshot still gets heartbeats: its answers keep the primary in
        // office while the transfer lasts.
        let prev = prev.unwrap_or(self.log.last());
        let msg = Message::Append {
            view: self.hard.view,
            round,
            prev,
            entries,
            commit: self.commit,
        };
        self.send(to, msg);
    }

    fn offer_snapshot(&mut self, to: KeeperId) {
        let view = self.hard.view;
        if let Some(snapshot) = self.log.snapshot() {
            let meta = snapshot.meta.clone();
            self.send(to, Message::SnapshotOffer { view, meta });
        }
    }

    pub(crate) fn on_own_append(&mut self, view: View, op: Op) {
        if view != self.hard.view {
            return;
        }
        if let Some(leading) = self.leading.as_mut() {
            leading.own = leading.own.max(op);
            self.advance_commit();
        }
    }

    pub(crate) fn on_append_reply(&mut self, from: KeeperId, msg: Message) {
        let Message::AppendReply {
            view,
            round,
            outcome,
            incarnation,
            known,
        } = msg
        else {
            return;
        };
        if view != self.hard.view || self.leading.is_none() {
            return;
        }
        if !self.note_lives(from, incarnation, &known) {
            return;
        }
        let now = self.now;
        let patience = self.options.heartbeat;
        if let Some(change) = self.leading.as_mut().and_then(|l| l.change.as_mut())
            && change.added == Some(from)
        {
            change.heard = now;
        }
        let Some(peer) = self.leading.as_mut().and_then(|l| l.peers.get_mut(&from)) else {
            return;
        };
        peer.round = peer.round.max(round);
        match outcome {
            AppendOutcome::Matches(op) => {
                peer.matched = peer.matched.max(op);
                peer.next = peer.next.max(peer.matched.next());
                peer.in_flight = peer.in_flight.saturating_sub(1);
                if peer.matched.next() == peer.next {
                    peer.in_flight = 0;
                }
                peer.probing = false;
            }
            AppendOutcome::Behind(op) => {
                let next = op.max(peer.matched).next();
                // Each batch after a lost one is answered alike; one of the answers suffices.
                let (sent, from_op) = peer.probed;
                if peer.probing && next == from_op && now < sent + patience {
                    self.count_rounds();
                    return;
                }
                peer.next = next;
                peer.in_flight = 0;
                peer.probing = true;
                self.send_append(from, true);
            }
        }
        self.advance_commit();
        self.count_rounds();
        self.fill_pipeline(from);
        self.continue_change();
    }

    // Answers of a disk that was lost since count no more, see `Ballot::counted`.
    fn note_lives(
        &mut self,
        from: KeeperId,
        incarnation: Incarnation,
        known: &BTreeMap<KeeperId, Incarnation>,
    ) -> bool {
        if self.options.broken.count_old_lives {
            return true;
        }
        let Some(leading) = self.leading.as_mut() else {
            return false;
        };
        for (k, life) in known.iter().chain(&self.hard.known) {
            if let Some(peer) = leading.peers.get_mut(k) {
                peer.begin_life(*life);
            }
        }
        let Some(peer) = leading.peers.get_mut(&from) else {
            return false;
        };
        let counts = peer.begin_life(incarnation);
        if !counts {
            let highest = peer.incarnation;
            self.send(from, Message::NewerLife { highest });
        }
        counts
    }

    // Entries of earlier views are committed only together with one of this view: a majority that
    // holds an older entry does not yet keep a more complete log without it from winning.
    fn advance_commit(&mut self) {
        let Some(leading) = self.leading.as_ref() else {
            return;
        };
        let op = leading.majority_match(self.options.me, self.log.members());
        let own_view = self.log.point(op).is_some_and(|p| p.view == self.hard.view);
        if op > self.commit && own_view {
            self.commit_to(op);
            // Backups serve and apply up to the commit position only; the next entries or heartbeat
            // may be far off.
            if op == self.log.last().op && self.leading.is_some() {
                self.beat();
            }
        }
    }

    /// `commit_to` raises the commit position and applies the entries up to it.
    pub(crate) fn commit_to(&mut self, op: Op) {
        self.commit = self.commit.max(op.min(self.log.last().op));
        while self.applied < self.commit {
            let op = self.applied.next();
            let Some(entry) = self.log.entry(op).cloned() else {
                return;
            };
            self.applied = op;
            self.out.push(Action::Apply { op, entry });
            let waiting = self.leading.as_mut().and_then(|l| l.waiting.remove(&op));
            if let Some(id) = waiting {
                self.reply(id, ProposeResult::Committed(op));
            }
            self.ask_for_snapshot(op);
        }
        let removed = self.log.members_since() <= self.commit && !self.is_member();
        if removed && self.leading.is_some() {
            self.beat();
            self.step_down();
        }
        self.serve_reads();
    }

    fn ask_for_snapshot(&mut self, op: Op) {
        let since = op.0 - self.log.snapshot_point().op.0;
        if self.snapshot_asked || since < self.options.snapshot_every {
            return;
        }
        if let Some(last) = self.log.point(op) {
            self.snapshot_asked = true;
            let members = self.log.members_at(op);
            let meta = crate::snapshot::SnapshotMeta { last, members };
            self.out.push(Action::TakeSnapshot(meta));
        }
    }
}
