//! Elections: pre-vote, votes, and the change to a new view.

use shallothill_core::ids::KeeperId;
use shallothill_core::incarnation::Incarnation;

use crate::action::{Action, ProposeResult};
use crate::ballot::{Ballot, Vote};
use crate::entry::{Content, Entry, LogPoint, Op, View};
use crate::fetch::Fetching;
use crate::leading::Leading;
use crate::message::Message;
use crate::options::ElectionRule;
use crate::outbox::Deferred;
use crate::peer::Peer;
use crate::replica::Replica;

impl Replica {
    pub(crate) fn tick_election(&mut self) {
        if self.now < self.deadline || !self.is_member() {
            return;
        }
        self.primary = None;
        self.reset_deadline();
        let view = self.hard.view.next();
        if self.options.broken.no_pre_vote {
            self.start_view(view);
            return;
        }
        let mut ballot = Ballot::new(view, true);
        ballot.add(self.options.me, Vote::default());
        self.ballot = Some(ballot);
        let last = self.log.last();
        for to in self.others() {
            self.send(to, Message::PreVote { view, last });
        }
        self.count_pre_votes();
    }

    /// `follows_a_primary` tells whether the replica must not help to replace the primary, because
    /// it is one itself or heard one so recently that a lease may rest on it.
    fn follows_a_primary(&self) -> bool {
        if self.options.broken.no_pre_vote {
            return false;
        }
        self.leading.is_some() || self.now < self.heard + self.options.election_timeout
    }

    fn log_suffices(&self, last: LogPoint) -> bool {
        last >= self.log.last()
            || self.options.election == ElectionRule::Rotation
            || self.options.broken.vote_for_any_log
    }

    pub(crate) fn on_pre_vote(&mut self, from: KeeperId, view: View, last: LogPoint) {
        let granted = view > self.hard.view && !self.follows_a_primary() && self.log_suffices(last);
        let reply = Message::PreVoteReply {
            view,
            granted,
            current: self.hard.view,
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
            if let Some(ballot) = self.ballot.as_mut().filter(|b| b.pre && b.view == view) {
                ballot.add(from, Vote::default());
                self.count_pre_votes();
            }
        } else if self.ballot.is_some() {
            self.adopt_view(current);
        }
    }

    fn count_pre_votes(&mut self) {
        let Some(ballot) = self.ballot.as_ref().filter(|b| b.pre) else {
            return;
        };
        let members = self.log.members();
        let view = ballot.view;
        if ballot.counted(members, true).len() > members.len() / 2 && view > self.hard.view {
            self.start_view(view);
        }
    }

    /// `candidate_of` returns whom the replica votes for when it starts `view`.
    fn candidate_of(&self, view: View) -> KeeperId {
        let members = self.log.members();
        match self.options.election {
            ElectionRule::Rotation if !members.is_empty() => {
                members[(view.0 % members.len() as u64) as usize]
            }
            _ => self.options.me,
        }
    }

    fn start_view(&mut self, view: View) {
        self.step_down();
        let candidate = self.candidate_of(view);
        self.hard.view = view;
        self.hard.voted_for = Some(candidate);
        self.save();
        self.reset_deadline();
        let last = self.log.last();
        if candidate == self.options.me {
            self.ballot = Some(Ballot::new(view, false));
            self.out.after_sync(Deferred::OwnVote { view });
        } else {
            self.send_vote(candidate);
        }
        for to in self.others() {
            self.out.after_sync(Deferred::Send {
                to,
                view: Some(view),
                msg: Message::Vote { view, last },
            });
        }
    }

    pub(crate) fn on_vote(&mut self, from: KeeperId, view: View, last: LogPoint) {
        if view < self.hard.view {
            let view = self.hard.view;
            self.send(from, Message::HigherView { view });
            return;
        }
        if self.follows_a_primary() {
            return;
        }
        if self.options.election == ElectionRule::Rotation {
            self.join_rotation(view);
            return;
        }
        self.adopt_view(view);
        let free = self.hard.voted_for.is_none_or(|k| k == from);
        if !free || !self.log_suffices(last) {
            return;
        }
        if self.hard.voted_for.is_none() {
            self.hard.voted_for = Some(from);
            self.save();
        }
        self.reset_deadline();
        self.send_vote(from);
    }

    fn join_rotation(&mut self, view: View) {
        if view > self.hard.view {
            self.start_view(view);
        } else if let Some(candidate) = self.hard.voted_for.filter(|k| *k != self.options.me) {
            self.send_vote(candidate);
        }
    }

    fn send_vote(&mut self, to: KeeperId) {
        let view = self.hard.view;
        let msg = Message::VoteReply {
            view,
            last: self.log.last(),
            incarnation: self.hard.incarnation,
            known: self.hard.known.clone(),
        };
        self.out.after_sync(Deferred::Send {
            to,
            view: Some(view),
            msg,
        });
    }

    pub(crate) fn on_own_vote(&mut self, view: View) {
        let vote = Vote {
            last: self.log.last(),
            incarnation: self.hard.incarnation,
            known: self.hard.known.clone(),
        };
        let me = self.options.me;
        if let Some(ballot) = self.ballot.as_mut().filter(|b| !b.pre && b.view == view) {
            ballot.add(me, vote);
            self.count_votes();
        }
    }

    pub(crate) fn on_vote_reply(&mut self, from: KeeperId, msg: Message) {
        let Message::VoteReply {
            view,
            last,
            incarnation,
            known,
        } = msg
        else {
            return;
        };
        let rotation = self.options.election == ElectionRule::Rotation;
        if rotation && view > self.hard.view && !self.follows_a_primary() {
            self.start_view(view);
        }
        let vote = Vote {
            last,
            incarnation,
            known,
        };
        if let Some(ballot) = self.ballot.as_mut().filter(|b| !b.pre && b.view == view) {
            ballot.add(from, vote);
            self.count_votes();
        }
    }

    fn count_votes(&mut self) {
        let Some(ballot) = self.ballot.as_ref().filter(|b| !b.pre) else {
            return;
        };
        let members = self.log.members();
        let votes = ballot.counted(members, self.options.broken.count_old_lives);
        let own = votes.iter().any(|(k, _)| *k == self.options.me);
        if !own || votes.len() <= members.len() / 2 {
            for (to, highest) in ballot.outdated(members) {
                self.tell_newer_life(to, highest);
            }
            return;
        }
        let best = votes.iter().max_by_key(|(_, v)| v.last);
        let best = best.map(|(k, v)| (*k, v.last));
        match best.filter(|(_, last)| *last > self.log.last()) {
            // Only with the rotation: the primary is fixed, so it has to fetch the best log.
            Some((source, last)) if self.options.election == ElectionRule::Rotation => {
                if self.fetching.is_none() {
                    self.fetching = Some(Fetching::new(source, Some(last), self.now));
                    self.ask_fetch();
                }
            }
            _ => self.become_primary(),
        }
    }

    fn tell_newer_life(&mut self, to: KeeperId, highest: Incarnation) {
        if to == self.options.me {
            self.on_newer_life(highest);
        } else {
            self.send(to, Message::NewerLife { highest });
        }
    }

    /// `after_fetch` continues a change of view that waited for a more complete log.
    pub(crate) fn after_fetch(&mut self) {
        if self.ballot.as_ref().is_some_and(|b| !b.pre) {
            self.count_votes();
        }
    }

    fn become_primary(&mut self) {
        let view = self.hard.view;
        tracing::info!("replica: {} is the primary of {view}", self.options.me);
        self.ballot = None;
        self.fetching = None;
        self.primary = Some(self.options.me);
        let next = self.log.last().op.next();
        self.leading = Some(Leading::new(next, self.now));
        self.update_peers();
        self.append_own(Entry {
            view,
            content: Content::Nothing,
        });
        self.beat();
    }

    /// `update_peers` makes the peers of a primary equal to the other members.
    pub(crate) fn update_peers(&mut self) {
        let mut others = self.others();
        let leading = self.leading.as_ref();
        others.extend(leading.and_then(|l| l.change.as_ref()?.added));
        let next = self.log.last().op.next();
        let now = self.now;
        let Some(leading) = self.leading.as_mut() else {
            return;
        };
        leading.peers.retain(|k, _| others.contains(k));
        for k in others {
            let peer = || Peer::new(next, now);
            leading.peers.entry(k).or_insert_with(peer);
        }
    }

    /// `step_down` ends a primary's or candidate's part; what was proposed may still be committed.
    pub(crate) fn step_down(&mut self) {
        self.ballot = None;
        self.primary = None;
        if self.counts {
            self.fetching = None;
        }
        let Some(leading) = self.leading.take() else {
            return;
        };
        tracing::info!(
            "replica: {} is no longer the primary of {}",
            self.options.me,
            self.hard.view
        );
        for request in leading.waiting.into_values() {
            let result = ProposeResult::Unknown;
            self.out.push(Action::Reply { request, result });
        }
        if let Some(change) = leading.change {
            let primary = None;
            self.reply(change.id, ProposeResult::NotPrimary { primary });
        }
        for read in leading.reads {
            let (token, primary) = (read.token, None);
            self.out.push(Action::ReadRefused { token, primary });
        }
        self.reset_deadline();
    }

    /// `append_own` adds an entry to a primary's log and sends it.
    pub(crate) fn append_own(&mut self, entry: Entry) -> Op {
        let view = entry.view;
        let op = self.log.append(entry.clone());
        self.out.durable(Action::Append {
            first: op,
            entries: vec![entry],
        });
        self.out.after_sync(Deferred::OwnAppend { view, op });
        op
    }
}
