//! The state of a primary.

use std::collections::{BTreeMap, VecDeque};

use shallothill_core::ids::KeeperId;
use shallothill_core::time::Millis;

use crate::entry::{Op, RequestId};
use crate::event::ReadToken;
use crate::peer::Peer;

/// `PendingRead` is a read that waits until a majority answers `round` or a later round.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRead {
    pub(crate) token: ReadToken,
    pub(crate) round: u64,
}

/// `PendingChange` is a change of members that waits until enough of the new members answer.
#[derive(Clone, Debug)]
pub(crate) struct PendingChange {
    pub(crate) id: RequestId,
    pub(crate) added: Option<KeeperId>,
    pub(crate) members: Vec<KeeperId>,
    /// The position that the added member's log has to reach.
    pub(crate) target_op: Op,
    /// The round that a majority of the new members has to answer.
    pub(crate) round: u64,
    /// When the added member answered last; at first, when the change was requested.
    pub(crate) last_answer: Millis,
    /// When the change fails if it is still pending.
    pub(crate) deadline: Millis,
}

/// `PrimaryState` is the state that a replica holds while it is the primary.
#[derive(Debug)]
pub(crate) struct PrimaryState {
    pub(crate) peers: BTreeMap<KeeperId, Peer>,
    /// The primary's own log is durable up to this position.
    pub(crate) own_durable_op: Op,
    /// The first entry of the view. Reads wait until it is committed, because entries of earlier
    /// views may be committed before this primary learns of it.
    pub(crate) first_op: Op,
    /// The number of the last heartbeat round.
    pub(crate) round: u64,
    /// The start of each round that a majority has not answered.
    pub(crate) round_starts: VecDeque<(u64, Millis)>,
    /// The start of the last round that a majority answered.
    pub(crate) quorum_heard_at: Millis,
    pub(crate) next_heartbeat: Millis,
    /// The requests to answer when their entries are committed, by position.
    pub(crate) pending_replies: BTreeMap<Op, RequestId>,
    pub(crate) pending_reads: VecDeque<PendingRead>,
    pub(crate) change: Option<PendingChange>,
}

impl PrimaryState {
    pub(crate) fn new(first_op: Op, now: Millis) -> Self {
        Self {
            peers: BTreeMap::new(),
            own_durable_op: Op(0),
            first_op,
            round: 0,
            round_starts: VecDeque::new(),
            quorum_heard_at: now,
            next_heartbeat: now,
            pending_replies: BTreeMap::new(),
            pending_reads: VecDeque::new(),
            change: None,
        }
    }

    /// `majority_round` returns the highest round that a majority of `members` answered; the
    /// primary itself counts as having answered every round.
    pub(crate) fn majority_round(&self, me: KeeperId, members: &[KeeperId]) -> u64 {
        let round = |k: &KeeperId| {
            if *k == me {
                return self.round;
            }
            self.peers.get(k).map_or(0, |p| p.round)
        };
        nth_highest(members.iter().map(round).collect(), members.len() / 2)
    }

    /// `silent_members` returns the members that answered neither the first round without a
    /// majority nor a later one.
    pub(crate) fn silent_members(&self, me: KeeperId, members: &[KeeperId]) -> Vec<KeeperId> {
        let oldest = self.round_starts.front();
        let unconfirmed = oldest.map_or(self.round, |(round, _)| *round);
        let silent = |k: &KeeperId| self.peers.get(k).is_none_or(|p| p.round < unconfirmed);
        let others = members.iter().copied().filter(|k| *k != me);
        others.filter(silent).collect()
    }

    /// `majority_matched` returns the highest position that a majority of `members` holds durably.
    pub(crate) fn majority_matched(&self, me: KeeperId, members: &[KeeperId]) -> Op {
        let matched = |k: &KeeperId| {
            if *k == me {
                return self.own_durable_op.0;
            }
            self.peers.get(k).map_or(0, |p| p.matched_op.0)
        };
        let all = members.iter().map(matched).collect();
        Op(nth_highest(all, members.len() / 2))
    }

    /// `confirm_round` moves `quorum_heard_at` to the start of `round` and discards the starts of
    /// `round` and of earlier rounds.
    pub(crate) fn confirm_round(&mut self, round: u64) {
        while let Some((number, started)) = self.round_starts.front().copied() {
            if number > round {
                break;
            }
            self.quorum_heard_at = self.quorum_heard_at.max(started);
            self.round_starts.pop_front();
        }
    }
}

fn nth_highest(mut values: Vec<u64>, n: usize) -> u64 {
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.get(n).copied().unwrap_or(0)
}
