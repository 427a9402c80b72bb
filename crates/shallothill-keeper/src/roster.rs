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

/// `Reason` tells why the members change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The keeper asked to join.
    Asked(KeeperId),
    /// The keeper is silent, and another member stands in its place.
    Replaced {
        /// The keeper that leaves.
        leaver: KeeperId,
        /// The time without an answer; `None` if it was never heard.
        silent_for: Option<Duration>,
        /// The member that is heard in the same data centre; `None` if the place of the leaver is
        /// unknown.
        successor: Option<KeeperId>,
    },
}

/// `RosterChange` is a change of the group by one member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RosterChange {
    /// All members after the change.
    pub members: Vec<KeeperId>,
    /// Why they change.
    pub reason: Reason,
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

    /// `next` returns the next change, or `None` when nothing is to change.
    ///
    /// A keeper that asks joins first. A member is removed only when it has been silent for long,
    /// another member that is heard stands in its data centre, and the rest is a large enough
    /// group of keepers that are all heard.
    pub fn next(
        &mut self,
        now: Millis,
        members: &[KeeperId],
        seen: &BTreeMap<KeeperId, Sighting>,
    ) -> Option<RosterChange> {
        let hold = self.options.join_for;
        self.joining
            .retain(|id, at| !members.contains(id) && now.saturating_since(*at) < hold);
        if let Some(id) = self.joining.keys().next()
            && members.len() < MEMBERS_MAX
        {
            return Some(RosterChange {
                members: members.iter().copied().chain([*id]).collect(),
                reason: Reason::Asked(*id),
            });
        }
        let silent = |id: &KeeperId| {
            let heard = seen.get(id).map(|s| s.heard);
            heard.is_none_or(|at| now.saturating_since(at) >= self.options.remove_after)
        };
        let silent_members = members.iter().copied().filter(|id| silent(id));
        let (leaver, successor) = silent_members
            .filter_map(|id| Some((id, self.successor(id, members, seen, &silent)?)))
            .next()?;
        let rest: Vec<KeeperId> = members.iter().copied().filter(|id| *id != leaver).collect();
        let enough = rest.len() >= self.options.needed();
        let heard = seen.get(&leaver).map(|s| s.heard);
        (enough && !rest.iter().any(silent)).then_some(RosterChange {
            members: rest,
            reason: Reason::Replaced {
                leaver,
                silent_for: heard.map(|at| now.saturating_since(at)),
                successor,
            },
        })
    }

    // `None` if nobody stands in the place of `id`, `Some(None)` if its place is unknown and the
    // group is large enough without it.
    fn successor(
        &self,
        id: KeeperId,
        members: &[KeeperId],
        seen: &BTreeMap<KeeperId, Sighting>,
        silent: &impl Fn(&KeeperId) -> bool,
    ) -> Option<Option<KeeperId>> {
        let place = |id: &KeeperId| seen.get(id).and_then(|s| s.data_centre.as_ref());
        let Some(own) = place(&id) else {
            return (members.len() > self.options.needed()).then_some(None);
        };
        let mut others = members.iter().copied().filter(|other| *other != id);
        let successor = others.find(|o| place(o) == Some(own) && !silent(o));
        successor.map(Some)
    }
}
