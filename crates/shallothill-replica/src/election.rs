//! Elections: pre-votes, votes and the change to a new view.

use shallothill_core::ids::KeeperId;
use shallothill_core::incarnation::Incarnation;

use crate::action::{Action, ProposeResult};
use crate::ballot::{Ballot, Vote};
use crate::entry::{Content, Entry, EntryId, Op, View};
use crate::message::Message;
use crate::options::ElectionRule;
use crate::outbox::Deferred;
use crate::peer::Peer;
use crate::primary_state::PrimaryState;
use crate::replica::Replica;
use crate::state_transfer::StateTransfer;

impl Replica {
    pub(crate) fn tick_election(&mut self) {
        if self.now < self.election_deadline || !self.is_member() {
            return;
        }
        self.primary = None;
        self.reset_election_deadline();
        let view = self.hard_state.view.next();
        if self.options.protocol_faults.no_pre_vote {
            self.start_view(view);
            return;
        }
        let mut ballot = Ballot::new(view, true);
        ballot.add(self.options.me, Vote::default());
        self.ballot = Some(ballot);
        let last = self.log.last();
        for to in self.other_members() {
            self.send(to, Message::PreVote { view, last });
        }
        self.count_pre_votes();
    }

    /// `has_live_primary` returns whether the replica must not vote for a new primary: it is the
    /// primary itself, or received a message of one so recently that its answer may still support
    /// a lease.
    fn has_live_primary(&self) -> bool {
        if self.options.protocol_faults.no_pre_vote {
            return false;
        }
        self.primary_state.is_some()
            || self.now < self.primary_heard_at + self.options.election_timeout
    }

    fn log_is_up_to_date(&self, last: EntryId) -> bool {
        last >= self.log.last()
            || self.options.election_rule == ElectionRule::Rotation
            || self.options.protocol_faults.vote_for_any_log
    }

    pub(crate) fn on_pre_vote(&mut self, from: KeeperId, view: View, last: EntryId) {
        let granted =
            view > self.hard_state.view && !self.has_live_primary() && self.log_is_up_to_date(last);
        let reply = Message::PreVoteReply {
            view,
            granted,
            current: self.hard_state.view,
        };
        self.send(from, reply);
    }

    pub(crate) fn on_pre_vote_reply(
        &mut self,
        from: KeeperId,
        view: View,
        granted: bool,
        current: View,
    ) {
        if granted {
            if let Some(ballot) = self
                .ballot
                .as_mut()
                .filter(|b| b.is_pre_vote && b.view == view)
            {
                ballot.add(from, Vote::default());
                self.count_pre_votes();
            }
        } else if self.ballot.is_some() {
            self.adopt_view(current);
        }
    }

    fn count_pre_votes(&mut self) {
        let Some(ballot) = self.ballot.as_ref().filter(|b| b.is_pre_vote) else {
            return;
        };
        let members = self.log.members();
        let view = ballot.view;
        if ballot.valid_votes(members, true).len() > members.len() / 2
            && view > self.hard_state.view
        {
            self.start_view(view);
        }
    }

    /// `candidate_for` returns the candidate that the replica votes for when it starts `view`.
    fn candidate_for(&self, view: View) -> KeeperId {
        let members = self.log.members();
        match self.options.election_rule {
            ElectionRule::Rotation if !members.is_empty() => {
                members[(view.0 % members.len() as u64) as usize]
            }
            _ => self.options.me,
        }
    }

    fn start_view(&mut self, view: View) {
        self.step_down();
        let candidate = self.candidate_for(view);
        self.hard_state.view = view;
        self.hard_state.voted_for = Some(candidate);
        self.save_hard_state();
        self.reset_election_deadline();
        let last = self.log.last();
        if candidate == self.options.me {
            self.ballot = Some(Ballot::new(view, false));
            self.outbox.after_sync(Deferred::OwnVote { view });
        } else {
            self.send_vote(candidate);
        }
        for to in self.other_members() {
            self.outbox.after_sync(Deferred::Send {
                to,
                view: Some(view),
                msg: Message::Vote { view, last },
            });
        }
    }

    pub(crate) fn on_vote(&mut self, from: KeeperId, view: View, last: EntryId) {
        if view < self.hard_state.view {
            let view = self.hard_state.view;
            self.send(from, Message::HigherView { view });
            return;
        }
        if self.has_live_primary() {
            return;
        }
        if self.options.election_rule == ElectionRule::Rotation {
            self.join_rotation(view);
            return;
        }
        self.adopt_view(view);
        let vote_available = self.hard_state.voted_for.is_none_or(|k| k == from);
        if !vote_available || !self.log_is_up_to_date(last) {
            return;
        }
        if self.hard_state.voted_for.is_none() {
            self.hard_state.voted_for = Some(from);
            self.save_hard_state();
        }
        self.reset_election_deadline();
        self.send_vote(from);
    }

    fn join_rotation(&mut self, view: View) {
        if view > self.hard_state.view {
            self.start_view(view);
        } else if let Some(candidate) = self.hard_state.voted_for.filter(|k| *k != self.options.me)
        {
            self.send_vote(candidate);
        }
    }

    fn send_vote(&mut self, to: KeeperId) {
        let view = self.hard_state.view;
        let msg = Message::VoteReply {
            view,
            last: self.log.last(),
            incarnation: self.hard_state.incarnation,
            known_incarnations: self.hard_state.known_incarnations.clone(),
        };
        self.outbox.after_sync(Deferred::Send {
            to,
            view: Some(view),
            msg,
        });
    }

    pub(crate) fn on_own_vote(&mut self, view: View) {
        let vote = Vote {
            last: self.log.last(),
            incarnation: self.hard_state.incarnation,
            known_incarnations: self.hard_state.known_incarnations.clone(),
        };
        let me = self.options.me;
        if let Some(ballot) = self
            .ballot
            .as_mut()
            .filter(|b| !b.is_pre_vote && b.view == view)
        {
            ballot.add(me, vote);
            self.count_votes();
        }
    }

    pub(crate) fn on_vote_reply(&mut self, from: KeeperId, msg: Message) {
        let Message::VoteReply {
            view,
            last,
            incarnation,
            known_incarnations,
        } = msg
        else {
            return;
        };
        let rotation = self.options.election_rule == ElectionRule::Rotation;
        if rotation && view > self.hard_state.view && !self.has_live_primary() {
            self.start_view(view);
        }
        let vote = Vote {
            last,
            incarnation,
            known_incarnations,
        };
        if let Some(ballot) = self
            .ballot
            .as_mut()
            .filter(|b| !b.is_pre_vote && b.view == view)
        {
            ballot.add(from, vote);
            self.count_votes();
        }
    }

    fn count_votes(&mut self) {
        let Some(ballot) = self.ballot.as_ref().filter(|b| !b.is_pre_vote) else {
            return;
        };
        let members = self.log.members();
        let votes =
            ballot.valid_votes(members, self.options.protocol_faults.count_old_incarnations);
        let has_own_vote = votes.iter().any(|(k, _)| *k == self.options.me);
        if !has_own_vote || votes.len() <= members.len() / 2 {
            for (to, highest) in ballot.outdated_voters(members) {
                self.notify_newer_incarnation(to, highest);
            }
            return;
        }
        let best = votes.iter().max_by_key(|(_, v)| v.last);
        let best = best.map(|(k, v)| (*k, v.last));
        match best.filter(|(_, last)| *last > self.log.last()) {
            // With the rotation, the view fixes the primary, so it has to fetch the most complete
            // log.
            Some((source, last)) if self.options.election_rule == ElectionRule::Rotation => {
                if self.transfer.is_none() {
                    self.transfer = Some(StateTransfer::new(source, Some(last), self.now));
                    self.send_fetch();
                }
            }
            _ => self.become_primary(),
        }
    }

    fn notify_newer_incarnation(&mut self, to: KeeperId, highest: Incarnation) {
        if to == self.options.me {
            self.on_newer_incarnation(highest);
        } else {
            self.send(to, Message::NewerIncarnation { highest });
        }
    }

    /// `resume_view_change` continues a view change that waited for a more complete log.
    pub(crate) fn resume_view_change(&mut self) {
        if self.ballot.as_ref().is_some_and(|b| !b.is_pre_vote) {
            self.count_votes();
        }
    }

    fn become_primary(&mut self) {
        let view = self.hard_state.view;
        tracing::info!(
            "replica: keeper {} is the primary of {view}",
            self.options.me
        );
        self.ballot = None;
        self.transfer = None;
        self.primary = Some(self.options.me);
        let next = self.log.last().op.next();
        self.primary_state = Some(PrimaryState::new(next, self.now));
        self.update_peers();
        self.append_as_primary(Entry {
            view,
            content: Content::Noop,
        });
        self.send_heartbeats();
    }

    /// `update_peers` sets the peers of a primary to the other members and the member that is being
    /// added.
    pub(crate) fn update_peers(&mut self) {
        let mut others = self.other_members();
        let primary_state = self.primary_state.as_ref();
        others.extend(primary_state.and_then(|s| s.change.as_ref()?.added));
        let next = self.log.last().op.next();
        let now = self.now;
        let Some(primary_state) = self.primary_state.as_mut() else {
            return;
        };
        primary_state.peers.retain(|k, _| others.contains(k));
        for k in others {
            let peer = || Peer::new(next, now);
            primary_state.peers.entry(k).or_insert_with(peer);
        }
    }

    /// `step_down` ends the role of primary or candidate; proposed entries may still be committed.
    pub(crate) fn step_down(&mut self) {
        self.ballot = None;
        self.primary = None;
        if self.can_vote {
            self.transfer = None;
        }
        let Some(primary_state) = self.primary_state.take() else {
            return;
        };
        tracing::info!(
            "replica: keeper {} is no longer the primary of {}",
            self.options.me,
            self.hard_state.view
        );
        for request in primary_state.pending_replies.into_values() {
            let result = ProposeResult::Unknown;
            self.outbox.push(Action::Reply { request, result });
        }
        if let Some(change) = primary_state.change {
            let primary = None;
            self.reply(change.id, ProposeResult::NotPrimary { primary });
        }
        for read in primary_state.pending_reads {
            let (token, primary) = (read.token, None);
            self.outbox.push(Action::ReadRefused { token, primary });
        }
        self.reset_election_deadline();
    }

    /// `append_as_primary` appends an entry to the primary's own log, which counts towards the
    /// commit after the next sync, and returns its position.
    pub(crate) fn append_as_primary(&mut self, entry: Entry) -> Op {
        let view = entry.view;
        let op = self.log.append(entry.clone());
        self.outbox.push_durable(Action::Append {
            first: op,
            entries: vec![entry],
        });
        self.outbox.after_sync(Deferred::OwnAppend { view, op });
        op
    }
}
