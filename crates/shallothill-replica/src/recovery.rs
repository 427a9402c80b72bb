//! Forming a new group, and recovering a replica whose disk was lost.

use std::collections::BTreeMap;

use shallothill_core::ids::KeeperId;
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::Millis;

use crate::durable::MemberState;
use crate::entry::View;
use crate::log_fields;
use crate::message::{Message, RecoverySummary};
use crate::outbox::Deferred;
use crate::replica::Replica;
use crate::state_transfer::StateTransfer;

/// `Recovery` collects the answers of the other members while a replica forms or recovers.
#[derive(Debug)]
pub(crate) struct Recovery {
    replies: BTreeMap<KeeperId, (Incarnation, RecoverySummary)>,
    /// The incarnations that the answers report; they take effect when the recovery finishes.
    incarnations: BTreeMap<KeeperId, Incarnation>,
    /// The highest view that an answer reports.
    view: View,
    next_send: Millis,
    /// The numbers of answers and of members in the last log line about missing answers.
    last_logged: Option<(usize, usize)>,
    /// Whether all data was received; it may still wait for its sync.
    done: bool,
}

impl Recovery {
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            replies: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            view: View(0),
            next_send: now,
            last_logged: None,
            done: false,
        }
    }

    fn clear(&mut self) {
        self.replies.clear();
        self.incarnations.clear();
        self.view = View(0);
    }
}

impl Replica {
    pub(crate) fn tick_recovery(&mut self) {
        if self.recovery.done {
            return;
        }
        let stalled =
            |t: &StateTransfer| self.now > t.progress_at() + self.options.election_timeout * 4;
        if self.transfer.as_ref().is_some_and(stalled) {
            self.transfer = None;
            self.recovery.clear();
        }
        if self.transfer.is_some() || self.now < self.recovery.next_send {
            return;
        }
        self.recovery.next_send = self.now + self.options.heartbeat * 2;
        let incarnation = self.hard_state.incarnation;
        let forming = self.hard_state.member_state == MemberState::Forming;
        for to in self.recovery_sources() {
            // The incarnation has to be durable before other members record it.
            let msg = Message::Recover {
                incarnation,
                forming,
            };
            let view = None;
            self.outbox.after_sync(Deferred::Send { to, view, msg });
        }
        self.try_form_group();
    }

    fn recovery_sources(&self) -> Vec<KeeperId> {
        let mut sources = self.options.members.clone();
        sources.extend(self.log.members());
        for (_, summary) in self.recovery.replies.values() {
            sources.extend(&summary.members);
        }
        sources.sort_unstable();
        sources.dedup();
        sources.retain(|k| *k != self.options.me);
        sources
    }

    pub(crate) fn on_recover(&mut self, from: KeeperId, incarnation: Incarnation, forming: bool) {
        let member_state = self.hard_state.member_state;
        let highest = self
            .hard_state
            .known_incarnations
            .get(&from)
            .copied()
            .unwrap_or_default();
        // A forming replica records the latest incarnation that it receives. A complete one
        // records no incarnation of a forming replica, so that a lost disk does not pass as new.
        let record = match member_state {
            MemberState::Forming => forming && incarnation != highest,
            MemberState::Complete => !forming && incarnation > highest,
            MemberState::Recovering => false,
        };
        if record {
            self.hard_state.known_incarnations.insert(from, incarnation);
            self.save_hard_state();
        }
        if member_state == MemberState::Complete && !self.can_vote {
            return;
        }
        let primary_state = self.primary_state.as_mut().filter(|_| record);
        if let Some(peer) = primary_state.and_then(|s| s.peers.get_mut(&from)) {
            peer.observe_incarnation(incarnation);
        }
        let msg = Message::RecoverReply {
            nonce: incarnation,
            highest: if record { incarnation } else { highest },
            incarnation: self.hard_state.incarnation,
            known_incarnations: self.hard_state.known_incarnations.clone(),
            summary: RecoverySummary {
                member_state,
                view: self.hard_state.view,
                last: self.log.last(),
                members: self.log.members().to_vec(),
                first_members: self.hard_state.first_members.clone(),
            },
        };
        let (to, view) = (from, None);
        self.outbox.after_sync(Deferred::Send { to, view, msg });
    }

    pub(crate) fn on_recover_reply(&mut self, from: KeeperId, msg: Message) {
        let Message::RecoverReply {
            nonce,
            highest,
            incarnation,
            known_incarnations,
            summary,
        } = msg
        else {
            return;
        };
        let idle = !self.can_vote && !self.recovery.done && self.transfer.is_none();
        if !idle || nonce != self.hard_state.incarnation {
            return;
        }
        if highest != nonce && summary.member_state == MemberState::Complete {
            self.begin_new_incarnation(highest);
            return;
        }
        if self.hard_state.member_state == MemberState::Recovering
            && summary.member_state != MemberState::Complete
        {
            return;
        }
        self.recovery.view = self.recovery.view.max(summary.view);
        for (k, reported) in known_incarnations.into_iter().chain([(from, incarnation)]) {
            let highest = self.recovery.incarnations.entry(k).or_default();
            *highest = reported.max(*highest);
        }
        self.recovery.replies.insert(from, (incarnation, summary));
        match self.hard_state.member_state {
            MemberState::Forming => self.try_form_group(),
            _ => self.try_start_transfer(),
        }
    }

    // Raising the incarnation without a recovery is safe, because the disk is intact and holds
    // every vote and acknowledgement so far: an incarnation with the higher number that had become
    // complete would have been recorded by the majority that this replica recovered from.
    pub(crate) fn on_newer_incarnation(&mut self, highest: Incarnation) {
        if highest > self.hard_state.incarnation {
            self.hard_state.incarnation = self.new_incarnation(highest);
            self.save_hard_state();
        }
    }

    // Other members recorded an incarnation of this replica that is not on this disk, so the disk
    // was lost.
    fn begin_new_incarnation(&mut self, highest: Incarnation) {
        let highest = highest.max(self.hard_state.incarnation);
        self.hard_state.incarnation = self.new_incarnation(highest);
        self.hard_state.member_state = MemberState::Recovering;
        self.save_hard_state();
        self.recovery.clear();
        self.recovery.next_send = self.now;
    }

    fn try_form_group(&mut self) {
        if self.hard_state.member_state != MemberState::Forming {
            return;
        }
        let me = self.options.me;
        let members: Vec<KeeperId> = self.options.members.clone();
        let confirmed = |k: &KeeperId| {
            let reply = self.recovery.replies.get(k);
            reply.is_some_and(|(_, s)| s.member_state != MemberState::Recovering)
        };
        if !members.iter().filter(|k| **k != me).all(confirmed) {
            return;
        }
        for (k, (incarnation, _)) in &self.recovery.replies {
            self.hard_state.known_incarnations.insert(*k, *incarnation);
        }
        self.hard_state.first_members = self.options.members.clone();
        self.recovery.done = true;
        self.save_as_complete();
    }

    // The answers must come from a majority of the members, not counting this replica. Every
    // majority that counted an answer from the lost disk then shares a member with them. As in an
    // election, the most complete of their logs holds every entry that may be committed.
    fn try_start_transfer(&mut self) {
        let me = self.options.me;
        let replies = &self.recovery.replies;
        let best = replies.iter().max_by_key(|(_, (_, s))| s.last);
        let Some((source, (_, summary))) = best else {
            return;
        };
        let members = &summary.members;
        let others = members.iter().filter(|k| **k != me);
        let count = others.filter(|k| replies.contains_key(k)).count();
        if count <= members.len() / 2 {
            let progress = (count, members.len());
            if self.recovery.last_logged != Some(progress) {
                self.log_missing_answers(members);
                self.recovery.last_logged = Some(progress);
            }
            return;
        }
        let (source, last) = (*source, summary.last);
        self.hard_state.first_members = summary.first_members.clone();
        self.log
            .set_first_members(self.hard_state.first_members.clone());
        tracing::info!("replica: keeper {me} recovers from keeper {source}");
        self.transfer = Some(StateTransfer::new(source, Some(last), self.now));
        self.send_fetch();
    }

    fn log_missing_answers(&self, members: &[KeeperId]) {
        let answered: Vec<KeeperId> = self.recovery.replies.keys().copied().collect();
        tracing::info!(
            answered = log_fields::format_ids(&answered),
            members = log_fields::format_ids(members),
            "replica: keeper {} waits for answers from more than half of the members to recover",
            self.options.me
        );
    }

    /// `finish_recovery` saves the recovered state; the replica is complete once it is durable.
    pub(crate) fn finish_recovery(&mut self, view: View) {
        if self.recovery.done {
            return;
        }
        self.recovery.done = true;
        self.hard_state.view = self.hard_state.view.max(view).max(self.recovery.view);
        // The lost disk may have held a vote in this view, so the replica must not vote for another
        // candidate in it.
        self.hard_state.voted_for = Some(self.options.me);
        for (k, reported) in std::mem::take(&mut self.recovery.incarnations) {
            if k != self.options.me {
                let recorded = self.hard_state.known_incarnations.entry(k).or_default();
                *recorded = reported.max(*recorded);
            }
        }
        self.save_hard_state();
        self.outbox.after_sync(Deferred::RecoveryDurable);
    }

    pub(crate) fn save_as_complete(&mut self) {
        self.hard_state.member_state = MemberState::Complete;
        self.save_hard_state();
        self.outbox.after_sync(Deferred::StartVoting);
    }

    pub(crate) fn start_voting(&mut self) {
        tracing::info!(
            "replica: keeper {} is complete and votes from now on",
            self.options.me
        );
        self.can_vote = true;
        self.primary_heard_at = self.now;
        self.reset_election_deadline();
    }
}
