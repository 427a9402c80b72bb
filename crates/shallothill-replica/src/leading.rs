//! The state of a primary.

use std::collections::{BTreeMap, VecDeque};

use shallothill_core::ids::KeeperId;
use shallothill_core::time::Millis;

use crate::entry::{Op, RequestId};
use crate::event::ReadToken;
use crate::peer::Peer;

/// `PendingRead` is a read that waits until a majority answered a later round.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRead {
    pub(crate) token: ReadToken,
    pub(crate) round: u64,
}

/// `Change` is a change of members that waits until enough of the new members answer.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    pub(crate) id: RequestId,
    pub(crate) added: Option<KeeperId>,
    pub(crate) members: Vec<KeeperId>,
    /// How far the added member's log has to reach.
    pub(crate) target: Op,
    /// The round that a majority of the new members has to answer.
    pub(crate) round: u64,
    /// When the added member answered last.
    pub(crate) heard: Millis,
    pub(crate) until: Millis,
}

/// `Leading` is what a replica keeps while it is the primary.
#[derive(Debug)]
pub(crate) struct Leading {
    pub(crate) peers: BTreeMap<KeeperId, Peer>,
    /// The primary's own log is durable up to here.
    pub(crate) own: Op,
    /// The first entry of the view; reads wait for its commit, because entries of earlier views
    /// may be committed without this primary knowing it.
    pub(crate) first: Op,
    pub(crate) round: u64,
    /// When each round started that not all answered.
    pub(crate) rounds: VecDeque<(u64, Millis)>,
    /// The start of the last round that a majority answered.
    pub(crate) heard: Millis,
    pub(crate) next_beat: Millis,
    pub(crate) waiting: BTreeMap<Op, RequestId>,
    pub(crate) reads: VecDeque<PendingRead>,
    pub(crate) change: Option<Change>,
}

impl Leading {
    pub(crate) fn new(first: Op, now: Millis) -> Self {
        Self {
            peers: BTreeMap::new(),
            own: Op(0),
            first,
            round: 0,
            rounds: VecDeque::new(),
            heard: now,
            next_beat: now,
            waiting: BTreeMap::new(),
            reads: VecDeque::new(),
            change: None,
        }
    }

    /// `majority_round` returns the highest round that a majority of `members` answered; the
    /// primary itself answers every round.
    pub(crate) fn majority_round(&self, me: KeeperId, members: &[KeeperId]) -> u64 {
        let round = |k: &KeeperId| {
            if *k == me {
                return self.round;
            }
            self.peers.get(k).map_or(0, |p| p.round)
        };
        nth_highest(members.iter().map(round).collect(), members.len() / 2)
    }

    /// `behind_round` returns the members that have answered neither the first round that lacks a
    /// majority nor any later one.
    pub(crate) fn behind_round(&self, me: KeeperId, members: &[KeeperId]) -> Vec<KeeperId> {
        let answered = self.rounds.front().map_or(self.round, |(round, _)| *round);
        let behind = |k: &KeeperId| self.peers.get(k).is_none_or(|p| p.round < answered);
        let others = members.iter().copied().filter(|k| *k != me);
        others.filter(behind).collect()
    }

    /// `majority_match` returns the highest position that a majority of `members` holds durably.
    pub(crate) fn majority_match(&self, me: KeeperId, members: &[KeeperId]) -> Op {
        let matched = |k: &KeeperId| {
            if *k == me {
                return self.own.0;
            }
            self.peers.get(k).map_or(0, |p| p.matched.0)
        };
        let all = members.iter().map(matched).collect();
        Op(nth_highest(all, members.len() / 2))
    }

    /// `note_round` moves `heard` to the start of `round` and forgets older rounds.
    pub(crate) fn note_round(&mut self, round: u64) {
        while let Some((number, started)) = self.rounds.front().copied() {
            if number > round {
                break;
            }
            self.heard = self.heard.max(started);
            self.rounds.pop_front();
        }
    }
}

fn nth_highest(mut values: Vec<u64>, n: usize) -> u64 {
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.get(n).copied().unwrap_or(0)
}
