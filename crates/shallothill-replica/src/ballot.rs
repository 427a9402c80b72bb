//! Votes for one view.

use std::collections::BTreeMap;

use shallothill_core::ids::KeeperId;
use shallothill_core::incarnation::Incarnation;

use crate::entry::{EntryId, View};

/// `Vote` is one replica's vote.
#[derive(Clone, Debug, Default)]
pub(crate) struct Vote {
    /// The end of the voter's log.
    pub(crate) last: EntryId,
    /// The incarnation of the voter's disk.
    pub(crate) incarnation: Incarnation,
    /// The incarnations that the voter recorded for the other members' disks.
    pub(crate) known_incarnations: BTreeMap<KeeperId, Incarnation>,
}

/// `Ballot` collects the votes, or the answers to a pre-vote, for one view.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ballot {
    pub(crate) view: View,
    pub(crate) is_pre_vote: bool,
    votes: BTreeMap<KeeperId, Vote>,
}

impl Ballot {
    pub(crate) fn new(view: View, is_pre_vote: bool) -> Self {
        Self {
            view,
            is_pre_vote,
            votes: BTreeMap::new(),
        }
    }

    /// `add` records a vote, unless a later incarnation of the voter's disk voted already.
    pub(crate) fn add(&mut self, from: KeeperId, vote: Vote) {
        let newer = |old: &Vote| vote.incarnation >= old.incarnation;
        if self.votes.get(&from).is_none_or(newer) {
            self.votes.insert(from, vote);
        }
    }

    /// `valid_votes` returns the votes of `members` that count towards a majority.
    ///
    /// A vote counts only if its incarnation is at least the highest one that any vote reports for
    /// the voter's disk. A replica that lost its disk recovers from a majority that recorded its
    /// new incarnation, and every majority of votes includes a member of that majority.
    pub(crate) fn valid_votes(
        &self,
        members: &[KeeperId],
        allow_old_incarnations: bool,
    ) -> Vec<(KeeperId, &Vote)> {
        let votes = self.votes.iter().filter(|(k, _)| members.contains(k));
        votes
            .filter(|(k, v)| {
                allow_old_incarnations || v.incarnation >= self.highest_incarnation(**k, members)
            })
            .map(|(k, v)| (*k, v))
            .collect()
    }

    /// `outdated_voters` returns the voters whose votes come from an outdated incarnation, each
    /// with the highest incarnation reported for its disk.
    pub(crate) fn outdated_voters(&self, members: &[KeeperId]) -> Vec<(KeeperId, Incarnation)> {
        let voters = self.votes.iter().map(|(k, v)| (*k, v.incarnation));
        voters
            .map(|(k, incarnation)| (k, incarnation, self.highest_incarnation(k, members)))
            .filter(|(_, incarnation, highest)| incarnation < highest)
            .map(|(k, _, highest)| (k, highest))
            .collect()
    }

    fn highest_incarnation(&self, voter: KeeperId, members: &[KeeperId]) -> Incarnation {
        let votes = self.votes.iter().filter(|(k, _)| members.contains(k));
        let reported = votes.filter_map(|(_, v)| v.known_incarnations.get(&voter));
        reported.max().copied().unwrap_or_default()
    }
}
