//! Which keepers belong to the group of the config log: pure decisions of the primary.

use std::collections::BTreeMap;
use std::time::Duration;

use shallothill_core::ids::{DataCentre, KeeperId};
use shallothill_core::time::Millis;

/// `MEMBERS_MAX` is the largest group.
const MEMBERS_MAX: usize = 9;

/// `RosterOptions` holds the limits of changes of the group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RosterOptions {
    /// How many keepers may be lost with their disks at the same time.
    pub tolerated_losses: usize,
    /// The silence after which a member whose replacement runs is removed. A shorter cut than this
    /// never removes a member.
    pub remove_after: Duration,
    /// The time for which a request to join holds; keepers repeat it.
    pub join_for: Duration,
}

impl Default for RosterOptions {
    fn default() -> Self {
        Self {
            tolerated_losses: 0,
            remove_after: Duration::from_secs(10),
            join_for: Duration::from_secs(2),
        }
    }
}

impl RosterOptions {
    /// `needed` returns the size from which a group survives the tolerated losses: what a majority
    /// holds is still held by one of them when that many disks are lost.
    pub fn needed(&self) -> usize {
        2 * self.tolerated_losses + 1
    }
}

/// `Sighting` is what the primary knows of a keeper.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sighting {
    /// The data centre, if it is known.
    pub data_centre: Option<DataCentre>,
    /// When it was last heard.
    pub heard: Millis,
}

/// `Roster` decides on the next change of the group, one member at a time.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    options: RosterOptions,
    joining: BTreeMap<KeeperId, Millis>,
}

impl Roster {
    /// `new` builds a roster without requests to join.
    pub fn new(options: RosterOptions) -> Self {
        Self {
            options,
            joining: BTreeMap::new(),
        }
    }

    /// `options` returns the limits.
    pub fn options(&self) -> &RosterOptions {
        &self.options
    }

    /// `ask_to_join` notes that a keeper that holds the whole log wants to be a member.
    pub fn ask_to_join(&mut self, now: Millis, id: KeeperId) {
        self.joining.insert(id, now);
    }

    /// `next` returns the members after the next change, or `None` when nothing is to change.
    ///
    /// A keeper that asks joins first. A member is removed only when it has been silent for long,
    /// another member that is heard stands in its data centre, and the rest is a large enough
    /// group of keepers that are all heard.
    pub fn next(
        &mut self,
        now: Millis,
        members: &[KeeperId],
        seen: &BTreeMap<KeeperId, Sighting>,
    ) -> Option<Vec<KeeperId>> {
        let hold = self.options.join_for;
        self.joining
            .retain(|id, at| !members.contains(id) && now.saturating_since(*at) < hold);
        if let Some(id) = self.joining.keys().next()
            && members.len() < MEMBERS_MAX
        {
            return Some(members.iter().copied().chain([*id]).collect());
        }
        let silent = |id: &KeeperId| {
            let heard = seen.get(id).map(|s| s.heard);
            heard.is_none_or(|at| now.saturating_since(at) >= self.options.remove_after)
        };
        let leaver = members
            .iter()
            .find(|id| silent(id) && self.is_replaced(**id, members, seen, &silent))?;
        let rest: Vec<KeeperId> = members.iter().copied().filter(|id| id != leaver).collect();
        let enough = rest.len() >= self.options.needed();
        (enough && !rest.iter().any(silent)).then_some(rest)
    }

    fn is_replaced(
        &self,
        id: KeeperId,
        members: &[KeeperId],
        seen: &BTreeMap<KeeperId, Sighting>,
        silent: &impl Fn(&KeeperId) -> bool,
    ) -> bool {
        let place = |id: &KeeperId| seen.get(id).and_then(|s| s.data_centre.as_ref());
        let Some(own) = place(&id) else {
            return members.len() > self.options.needed();
        };
        let others = members.iter().filter(|other| **other != id);
        others
            .into_iter()
            .any(|o| place(o) == Some(own) && !silent(o))
    }
}
