//! Votes for one view.

use std::collections::BTreeMap;

use shallothill_core::ids::KeeperId;
use shallothill_core::incarnation::Incarnation;

use crate::entry::{LogPoint, View};

/// `Vote` is one replica's vote.
#[derive(Clone, Debug, Default)]
pub(crate) struct Vote {
    pub(crate) last: LogPoint,
    pub(crate) incarnation: Incarnation,
    pub(crate) known: BTreeMap<KeeperId, Incarnation>,
}

/// `Ballot` collects the votes, or the answers to a pre-vote, for one view.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ballot {
    pub(crate) view: View,
    pub(crate) pre: bool,
    votes: BTreeMap<KeeperId, Vote>,
}

impl Ballot {
    pub(crate) fn new(view: View, pre: bool) -> Self {
        Self {
            view,
            pre,
            votes: BTreeMap::new(),
        }
    }

    pub(crate) fn add(&mut self, from: KeeperId, vote: Vote) {
        let newer = |old: &Vote| vote.incarnation >= old.incarnation;
        if self.votes.get(&from).is_none_or(newer) {
            self.votes.insert(from, vote);
        }
    }

    /// `counted` returns the votes of `members` that count.
    ///
    /// A vote counts only from the highest life of the voter's disk that any vote reports: a
    /// replica that lost its disk recovers from a majority that recorded its new life, and one of
    /// that majority is among any majority of votes.
    pub(crate) fn counted(&self, members: &[KeeperId], old_lives: bool) -> Vec<(KeeperId, &Vote)> {
        let votes = self.votes.iter().filter(|(k, _)| members.contains(k));
        votes
            .filter(|(k, v)| old_lives || v.incarnation >= self.highest(**k, members))
            .map(|(k, v)| (*k, v))
            .collect()
    }

    /// `outdated` returns the voters whose votes do not count, with their highest known lives.
    pub(crate) fn outdated(&self, members: &[KeeperId]) -> Vec<(KeeperId, Incarnation)> {
        let lives = self.votes.iter().map(|(k, v)| (*k, v.incarnation));
        lives
            .map(|(k, life)| (k, life, self.highest(k, members)))
            .filter(|(_, life, highest)| life < highest)
            .map(|(k, _, highest)| (k, highest))
            .collect()
    }

    fn highest(&self, voter: KeeperId, members: &[KeeperId]) -> Incarnation {
        let votes = self.votes.iter().filter(|(k, _)| members.contains(k));
        let known = votes.filter_map(|(_, v)| v.known.get(&voter));
        known.max().copied().unwrap_or_default()
    }
}
