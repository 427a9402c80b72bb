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
        let of_members = || self.votes.iter().filter(|(k, _)| members.contains(k));
        let highest = |voter: &KeeperId| {
            let known = of_members().filter_map(|(_, v)| v.known.get(voter));
            known.max().copied().unwrap_or_default()
        };
        of_members()
            .filter(|(k, v)| old_lives || v.incarnation >= highest(k))
            .map(|(k, v)| (*k, v))
            .collect()
    }
}
