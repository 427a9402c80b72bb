//! The forming of a new group, and the recovery of a replica whose disk was lost.

use std::collections::BTreeMap;

use shallothill_core::ids::KeeperId;
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::Millis;

use crate::durable::Standing;
use crate::entry::View;
use crate::fetch::Fetching;
use crate::logs;
use crate::message::{Message, RecoverySummary};
use crate::outbox::Deferred;
use crate::replica::Replica;

/// `Recovery` collects the answers of the other members.
#[derive(Debug)]
pub(crate) struct Recovery {
    replies: BTreeMap<KeeperId, (Incarnation, RecoverySummary)>,
    /// The lives that the answers report, in force once the replica is whole.
    lives: BTreeMap<KeeperId, Incarnation>,
    /// The highest view of the answers.
    view: View,
    next_send: Millis,
    /// The answers and the members of the last line on a wait.
    logged: Option<(usize, usize)>,
    /// Whether the content is complete and waits for its sync.
    done: bool,
}

impl Recovery {
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            replies: BTreeMap::new(),
            lives: BTreeMap::new(),
            view: View(0),
            next_send: now,
            logged: None,
            done: false,
        }
    }

    fn clear(&mut self) {
        self.replies.clear();
        self.lives.clear();
        self.view = View(0);
    }
}

impl Replica {
    pub(crate) fn tick_recovery(&mut self) {
        if self.recovery.done {
            return;
        }
        let stalled = |f: &Fetching| self.now > f.progress() + self.options.election_timeout * 4;
        if self.fetching.as_ref().is_some_and(stalled) {
            self.fetching = None;
            self.recovery.clear();
        }
        if self.fetching.is_some() || self.now < self.recovery.next_send {
            return;
        }
        self.recovery.next_send = self.now + self.options.heartbeat * 2;
        let incarnation = self.hard.incarnation;
        let forming = self.hard.standing == Standing::Forming;
        for to in self.recovery_sources() {
            // The incarnation has to be durable before others record it.
            let msg = Message::Recover {
                incarnation,
                forming,
            };
            let view = None;
            self.out.after_sync(Deferred::Send { to, view, msg });
        }
        self.try_form();
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
        let standing = self.hard.standing;
        let highest = self.hard.known.get(&from).copied().unwrap_or_default();
        // A replica that forms a group takes note of the last life that it hears of. A whole one
        // does not let a life that it never counted pass as new.
        let record = match standing {
            Standing::Forming => forming && incarnation != highest,
            Standing::Whole => !forming && incarnation > highest,
            Standing::Lost => false,
        };
        if record {
            self.hard.known.insert(from, incarnation);
            self.save();
        }
        if standing == Standing::Whole && !self.counts {
            return;
        }
        let leading = self.leading.as_mut().filter(|_| record);
        if let Some(peer) = leading.and_then(|l| l.peers.get_mut(&from)) {
            peer.begin_life(incarnation);
        }
        let msg = Message::RecoverReply {
            nonce: incarnation,
            highest: if record { incarnation } else { highest },
            incarnation: self.hard.incarnation,
            known: self.hard.known.clone(),
            summary: RecoverySummary {
                standing,
                view: self.hard.view,
                last: self.log.last(),
                members: self.log.members().to_vec(),
                first_members: self.hard.first_members.clone(),
            },
        };
        let (to, view) = (from, None);
        self.out.after_sync(Deferred::Send { to, view, msg });
    }

    pub(crate) fn on_recover_reply(&mut self, from: KeeperId, msg: Message) {
        let Message::RecoverReply {
            nonce,
            highest,
            incarnation,
            known,
            summary,
        } = msg
        else {
            return;
        };
        let idle = !self.counts && !self.recovery.done && self.fetching.is_none();
        if !idle || nonce != self.hard.incarnation {
            return;
        }
        if highest != nonce && summary.standing == Standing::Whole {
            self.begin_new_life(highest);
            return;
        }
        if self.hard.standing == Standing::Lost && summary.standing != Standing::Whole {
            return;
        }
        self.recovery.view = self.recovery.view.max(summary.view);
        for (k, life) in known.into_iter().chain([(from, incarnation)]) {
            let highest = self.recovery.lives.entry(k).or_default();
            *highest = life.max(*highest);
        }
        self.recovery.replies.insert(from, (incarnation, summary));
        match self.hard.standing {
            Standing::Forming => self.try_form(),
            _ => self.try_fetch(),
        }
    }

    // The disk is intact and keeps every promise made so far, so a higher number alone is safe: a
    // life with the higher number that had become whole would have been known to the majority that
    // this replica recovered from.
    pub(crate) fn on_newer_life(&mut self, highest: Incarnation) {
        if highest > self.hard.incarnation {
            self.hard.incarnation = self.new_incarnation(highest);
            self.save();
        }
    }

    // Others know a life of this replica that this disk does not hold: the disk was lost.
    fn begin_new_life(&mut self, highest: Incarnation) {
        let higher = highest.max(self.hard.incarnation);
        self.hard.incarnation = self.new_incarnation(higher);
        self.hard.standing = Standing::Lost;
        self.save();
        self.recovery.clear();
        self.recovery.next_send = self.now;
    }

    fn try_form(&mut self) {
        if self.hard.standing != Standing::Forming {
            return;
        }
        let me = self.options.me;
        let others: Vec<KeeperId> = self.options.members.clone();
        let new = |k: &KeeperId| {
            let reply = self.recovery.replies.get(k);
            reply.is_some_and(|(_, s)| s.standing != Standing::Lost)
        };
        if !others.iter().filter(|k| **k != me).all(new) {
            return;
        }
        for (k, (life, _)) in &self.recovery.replies {
            self.hard.known.insert(*k, *life);
        }
        self.hard.first_members = self.options.members.clone();
        self.recovery.done = true;
        self.save_as_whole();
    }

    // The sources have to be a majority that does not count this replica, because each majority
    // that counted an answer of the lost disk then shares a member with them. The most complete of
    // their logs holds every entry that may be committed, as in an election.
    fn try_fetch(&mut self) {
        let me = self.options.me;
        let replies = &self.recovery.replies;
        let best = replies.iter().max_by_key(|(_, (_, s))| s.last);
        let Some((source, (_, summary))) = best else {
            return;
        };
        let members = &summary.members;
        let answered = members.iter().filter(|k| **k != me);
        let count = answered.filter(|k| replies.contains_key(k)).count();
        if count <= members.len() / 2 {
            let wait = (count, members.len());
            if self.recovery.logged != Some(wait) {
                self.log_wait(members);
                self.recovery.logged = Some(wait);
            }
            return;
        }
        let (source, last) = (*source, summary.last);
        self.hard.first_members = summary.first_members.clone();
        self.log.set_first_members(self.hard.first_members.clone());
        tracing::info!("replica: {me} recovers from {source}");
        self.fetching = Some(Fetching::new(source, Some(last), self.now));
        self.ask_fetch();
    }

    fn log_wait(&self, members: &[KeeperId]) {
        let answered: Vec<KeeperId> = self.recovery.replies.keys().copied().collect();
        tracing::info!(
            answered = logs::ids(&answered),
            members = logs::ids(members),
            "replica: {} recovers once more than half of the members answered",
            self.options.me
        );
    }

    /// `recovered` ends the transfer; the replica is whole once its content is durable.
    pub(crate) fn recovered(&mut self, view: View) {
        if self.recovery.done {
            return;
        }
        self.recovery.done = true;
        self.hard.view = self.hard.view.max(view).max(self.recovery.view);
        // The lost disk may have held a vote in this view, so the replica gives no other one.
        self.hard.voted_for = Some(self.options.me);
        for (k, life) in std::mem::take(&mut self.recovery.lives) {
            if k != self.options.me {
                let known = self.hard.known.entry(k).or_default();
                *known = life.max(*known);
            }
        }
        self.save();
        self.out.after_sync(Deferred::ContentRecovered);
    }

    pub(crate) fn save_as_whole(&mut self) {
        self.hard.standing = Standing::Whole;
        self.save();
        self.out.after_sync(Deferred::Whole);
    }

    pub(crate) fn begin_to_count(&mut self) {
        tracing::info!("replica: {} is whole", self.options.me);
        self.counts = true;
        self.heard = self.now;
        self.reset_deadline();
    }
}
