//! Replication by the primary: proposals, heartbeats, appends and commits.

use std::collections::BTreeMap;

use shallothill_core::ids::KeeperId;
use shallothill_core::incarnation::Incarnation;

use crate::action::{Action, ProposeResult};
use crate::entry::{Content, Entry, Op, Request, RequestId, View};
use crate::log_fields;
use crate::message::{AppendOutcome, Message};
use crate::replica::Replica;

impl Replica {
    pub(crate) fn tick_primary(&mut self) {
        let Some(primary_state) = self.primary_state.as_ref() else {
            return;
        };
        // Check-quorum: a primary that receives no answers from a majority cannot commit, while its
        // own messages may still keep the other members from electing another primary.
        let limit = primary_state.quorum_heard_at + self.options.election_timeout;
        let alone = self.log.members() == [self.options.me];
        if self.now > limit && !alone && !self.options.protocol_faults.no_check_quorum {
            let silent = primary_state.silent_members(self.options.me, self.log.members());
            tracing::warn!(
                silent = log_fields::format_ids(&silent),
                members = log_fields::format_ids(self.log.members()),
                "replica: no majority of the members answers, so the primary steps down; check the \
                 silent members and the network to them"
            );
            self.step_down();
            return;
        }
        if self.now >= primary_state.next_heartbeat {
            self.send_heartbeats();
        }
        self.expire_change();
    }

    /// `send_heartbeats` starts a new round and sends a heartbeat to every peer.
    pub(crate) fn send_heartbeats(&mut self) {
        let now = self.now;
        let Some(primary_state) = self.primary_state.as_mut() else {
            return;
        };
        primary_state.round += 1;
        primary_state
            .round_starts
            .push_back((primary_state.round, now));
        primary_state.next_heartbeat = now + self.options.heartbeat;
        let peers: Vec<KeeperId> = primary_state.peers.keys().copied().collect();
        for to in peers {
            self.send_append(to, false);
        }
        self.confirm_rounds();
    }

    pub(crate) fn on_propose(&mut self, request: Request) {
        let id = request.id;
        if request.payload.len() > self.options.max_payload_bytes {
            self.reply(id, ProposeResult::Refused);
            return;
        }
        let Some(primary_state) = self.primary_state.as_ref() else {
            let primary = self.primary;
            self.reply(id, ProposeResult::NotPrimary { primary });
            return;
        };
        let snapshot_backlog =
            usize::try_from(self.options.snapshot_every_entries * 4).unwrap_or(usize::MAX);
        let max_in_memory = snapshot_backlog.saturating_add(self.options.max_uncommitted_entries);
        if primary_state.pending_replies.len() >= self.options.max_uncommitted_entries
            || self.log.len() >= max_in_memory
        {
            self.reply(id, ProposeResult::Busy);
            return;
        }
        self.propose(id, Content::Request(request));
    }

    /// `propose` appends an entry, records the request to answer and sends the entry to the peers.
    pub(crate) fn propose(&mut self, id: RequestId, content: Content) {
        let view = self.hard_state.view;
        let op = self.append_as_primary(Entry { view, content });
        if let Some(primary_state) = self.primary_state.as_mut() {
            primary_state.pending_replies.insert(op, id);
        }
        self.update_peers();
        self.send_entries();
    }

    pub(crate) fn reply(&mut self, request: RequestId, result: ProposeResult) {
        self.outbox.push(Action::Reply { request, result });
    }

    fn send_entries(&mut self) {
        let Some(primary_state) = self.primary_state.as_ref() else {
            return;
        };
        let ready = primary_state.peers.iter().filter(|(_, p)| !p.probing);
        let peers: Vec<KeeperId> = ready.map(|(k, _)| *k).collect();
        for to in peers {
            self.fill_pipeline(to);
        }
    }

    fn fill_pipeline(&mut self, to: KeeperId) {
        let last = self.log.last().op;
        while let Some(peer) = self.primary_state.as_ref().and_then(|s| s.peers.get(&to)) {
            if peer.probing
                || peer.in_flight >= self.options.max_in_flight_batches
                || peer.next_op > last
            {
                return;
            }
            self.send_append(to, true);
        }
    }

    // A heartbeat carries no entries; the answer to it shows whether an earlier batch was lost.
    fn send_append(&mut self, to: KeeperId, with_entries: bool) {
        let now = self.now;
        let Some(primary_state) = self.primary_state.as_mut() else {
            return;
        };
        let round = primary_state.round;
        let Some(peer) = primary_state.peers.get_mut(&to) else {
            return;
        };
        let prev = self.log.entry_id(peer.next_op.prev());
        let entries = if with_entries && prev.is_some() {
            self.log.batch(peer.next_op, self.options.max_batch_bytes)
        } else {
            Vec::new()
        };
        if with_entries {
            peer.last_probe = (now, peer.next_op);
        }
        if !entries.is_empty() {
            peer.next_op = Op(peer.next_op.0 + entries.len() as u64);
            peer.in_flight += 1;
        }
        if prev.is_none() {
            // The entries were removed from memory while the peer lagged.
            peer.probing = true;
            self.offer_snapshot(to);
        }
        // A peer that needs a snapshot still gets heartbeats: during the transfer, its answers
        // count towards the majority that the primary needs to stay primary.
        let prev = prev.unwrap_or(self.log.last());
        let msg = Message::Append {
            view: self.hard_state.view,
            round,
            prev,
            entries,
            commit: self.commit,
        };
        self.send(to, msg);
    }

    fn offer_snapshot(&mut self, to: KeeperId) {
        let view = self.hard_state.view;
        if let Some(snapshot) = self.log.snapshot() {
            let meta = snapshot.meta.clone();
            self.send(to, Message::SnapshotOffer { view, meta });
        }
    }

    pub(crate) fn on_own_append(&mut self, view: View, op: Op) {
        if view != self.hard_state.view {
            return;
        }
        if let Some(primary_state) = self.primary_state.as_mut() {
            primary_state.own_durable_op = primary_state.own_durable_op.max(op);
            self.advance_commit();
        }
    }

    pub(crate) fn on_append_reply(&mut self, from: KeeperId, msg: Message) {
        let Message::AppendReply {
            view,
            round,
            outcome,
            incarnation,
            known_incarnations,
        } = msg
        else {
            return;
        };
        if view != self.hard_state.view || self.primary_state.is_none() {
            return;
        }
        if !self.update_incarnations(from, incarnation, &known_incarnations) {
            return;
        }
        let now = self.now;
        let retry_interval = self.options.heartbeat;
        if let Some(change) = self.primary_state.as_mut().and_then(|s| s.change.as_mut())
            && change.added == Some(from)
        {
            change.last_answer = now;
        }
        let peers = self.primary_state.as_mut().map(|s| &mut s.peers);
        let Some(peer) = peers.and_then(|p| p.get_mut(&from)) else {
            return;
        };
        peer.round = peer.round.max(round);
        match outcome {
            AppendOutcome::Matches(op) => {
                peer.matched_op = peer.matched_op.max(op);
                peer.next_op = peer.next_op.max(peer.matched_op.next());
                peer.in_flight = peer.in_flight.saturating_sub(1);
                if peer.matched_op.next() == peer.next_op {
                    peer.in_flight = 0;
                }
                peer.probing = false;
            }
            AppendOutcome::Behind(op) => {
                let next = op.max(peer.matched_op).next();
                // Every batch after a lost one gets this answer; the primary reacts to the first.
                let (sent_at, from_op) = peer.last_probe;
                if peer.probing && next == from_op && now < sent_at + retry_interval {
                    self.confirm_rounds();
                    return;
                }
                peer.next_op = next;
                peer.in_flight = 0;
                peer.probing = true;
                self.send_append(from, true);
            }
        }
        self.advance_commit();
        self.confirm_rounds();
        self.fill_pipeline(from);
        self.continue_change();
    }

    // Records newer incarnations and returns whether the answer counts. An answer from a disk that
    // has been lost since does not count, see `Ballot::valid_votes`.
    fn update_incarnations(
        &mut self,
        from: KeeperId,
        incarnation: Incarnation,
        known_incarnations: &BTreeMap<KeeperId, Incarnation>,
    ) -> bool {
        if self.options.protocol_faults.count_old_incarnations {
            return true;
        }
        let Some(primary_state) = self.primary_state.as_mut() else {
            return false;
        };
        for (k, reported) in known_incarnations
            .iter()
            .chain(&self.hard_state.known_incarnations)
        {
            if let Some(peer) = primary_state.peers.get_mut(k) {
                peer.observe_incarnation(*reported);
            }
        }
        let Some(peer) = primary_state.peers.get_mut(&from) else {
            return false;
        };
        let counts = peer.observe_incarnation(incarnation);
        if !counts {
            let highest = peer.incarnation;
            self.send(from, Message::NewerIncarnation { highest });
        }
        counts
    }

    // Entries of earlier views are committed only together with an entry of this view. Even if a
    // majority holds an entry of an earlier view, a replica without it can have a log that ends in
    // a higher view, and win an election.
    fn advance_commit(&mut self) {
        let Some(primary_state) = self.primary_state.as_ref() else {
            return;
        };
        let op = primary_state.majority_matched(self.options.me, self.log.members());
        let in_own_view = self
            .log
            .entry_id(op)
            .is_some_and(|p| p.view == self.hard_state.view);
        if op > self.commit && in_own_view {
            self.commit_to(op);
            // Backups apply and serve entries only up to the commit position, so they are told at
            // once instead of with the next entries or heartbeat.
            if op == self.log.last().op && self.primary_state.is_some() {
                self.send_heartbeats();
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
            self.outbox.push(Action::Apply { op, entry });
            let pending = self
                .primary_state
                .as_mut()
                .and_then(|s| s.pending_replies.remove(&op));
            if let Some(id) = pending {
                self.reply(id, ProposeResult::Committed(op));
            }
            self.request_snapshot(op);
        }
        let removed = self.log.members_since() <= self.commit && !self.is_member();
        if removed && self.primary_state.is_some() {
            self.send_heartbeats();
            self.step_down();
        }
        self.serve_reads();
    }

    fn request_snapshot(&mut self, op: Op) {
        let since = op.0 - self.log.snapshot_end().op.0;
        if self.snapshot_requested || since < self.options.snapshot_every_entries {
            return;
        }
        if let Some(last) = self.log.entry_id(op) {
            self.snapshot_requested = true;
            let members = self.log.members_at(op);
            let meta = crate::snapshot::SnapshotMeta { last, members };
            self.outbox.push(Action::TakeSnapshot(meta));
        }
    }
}
