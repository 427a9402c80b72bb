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
    /// How long a member may leave the heartbeats of the primary unanswered. One that is removed
    /// although it was only cut off joins again; one that is gone lowers what the group survives
    /// until it is removed.
    pub heartbeats_for: Duration,
    /// How long a member may leave polls unanswered; a primary that was just elected has sent them
    /// for longer than heartbeats.
    pub polls_for: Duration,
    /// The time for which a request to join or to leave holds; keepers repeat it.
    pub asked_for: Duration,
}

impl Default for RosterOptions {
    fn default() -> Self {
        Self {
            tolerated_losses: 0,
            heartbeats_for: Duration::from_millis(1500),
            polls_for: Duration::from_millis(3500),
            asked_for: Duration::from_secs(2),
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
    /// When it last answered, if it ever did.
    pub heard: Option<Millis>,
    /// Since when it is polled.
    pub polls_since: Millis,
    /// Since when it gets heartbeats.
    pub heartbeats_since: Millis,
}

/// `Reason` tells why the members change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The keeper asked to join.
    Asked(KeeperId),
    /// The keeper is silent or asked to leave, and another member stands in its place.
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
    leaving: BTreeMap<KeeperId, Millis>,
}

impl Roster {
    /// `new` builds a roster without requests to join.
    pub fn new(options: RosterOptions) -> Self {
        Self {
            options,
            joining: BTreeMap::new(),
            leaving: BTreeMap::new(),
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

    /// `ask_to_leave` notes that a member is about to stop.
    pub fn ask_to_leave(&mut self, now: Millis, id: KeeperId) {
        self.leaving.insert(id, now);
    }

    /// `next` returns the next change, or `None` when nothing is to change.
    ///
    /// A keeper that asks joins first. A member is removed only when it is silent or asks to leave,
    /// another member that is heard stands in its data centre, and the rest is large enough and mostly heard.
    /// Others may be silent meanwhile: without the member that is gone, the group survives as many
    /// of their losses as before, or one more.
    pub fn next(
        &mut self,
        now: Millis,
        members: &[KeeperId],
        seen: &BTreeMap<KeeperId, Sighting>,
    ) -> Option<RosterChange> {
        let holds = |at: Millis| now.saturating_since(at) < self.options.asked_for;
        self.joining
            .retain(|id, at| !members.contains(id) && holds(*at));
        self.leaving
            .retain(|id, at| members.contains(id) && holds(*at));
        if let Some(id) = self.joining.keys().next()
            && members.len() < MEMBERS_MAX
        {
            return Some(RosterChange {
                members: members.iter().copied().chain([*id]).collect(),
                reason: Reason::Asked(*id),
            });
        }
        let look = Look {
            now,
            seen,
            options: &self.options,
        };
        let leaves = |id: &KeeperId| self.leaving.contains_key(id) || look.is_silent(*id);
        let (leaver, successor) = members
            .iter()
            .copied()
            .filter(leaves)
            .filter_map(|id| Some((id, look.successor(id, members)?)))
            .next()?;
        let rest: Vec<KeeperId> = members.iter().copied().filter(|id| *id != leaver).collect();
        let heard = rest.iter().filter(|id| look.is_heard(**id)).count();
        let allowed = rest.len() >= self.options.needed() && heard > rest.len() / 2;
        allowed.then_some(RosterChange {
            members: rest,
            reason: Reason::Replaced {
                leaver,
                silent_for: look.silent_for(leaver),
                successor,
            },
        })
    }
}

/// `Look` is what the primary knows at a time.
struct Look<'a> {
    now: Millis,
    seen: &'a BTreeMap<KeeperId, Sighting>,
    options: &'a RosterOptions,
}

impl Look<'_> {
    fn is_heard(&self, id: KeeperId) -> bool {
        let heard = self.seen.get(&id).and_then(|s| s.heard);
        let recent = |at| self.now.saturating_since(at) < self.options.polls_for;
        heard.is_some_and(recent) && !self.is_silent(id)
    }

    // A keeper that had no time to answer yet is neither heard nor silent.
    fn is_silent(&self, id: KeeperId) -> bool {
        let Some(sighting) = self.seen.get(&id) else {
            return false;
        };
        let quiet_since = |start: Millis| sighting.heard.map_or(start, |at| at.max(start));
        let quiet = |start| self.now.saturating_since(quiet_since(start));
        quiet(sighting.heartbeats_since) >= self.options.heartbeats_for
            || quiet(sighting.polls_since) >= self.options.polls_for
    }

    fn silent_for(&self, id: KeeperId) -> Option<Duration> {
        let heard = self.seen.get(&id).and_then(|s| s.heard);
        heard.map(|at| self.now.saturating_since(at))
    }

    // `None` if nobody stands in the place of `id`, `Some(None)` if its place is unknown and the
    // group is large enough without it.
    fn successor(&self, id: KeeperId, members: &[KeeperId]) -> Option<Option<KeeperId>> {
        let place = |id: KeeperId| self.seen.get(&id).and_then(|s| s.data_centre.as_ref());
        let Some(own) = place(id) else {
            return (members.len() > self.options.needed()).then_some(None);
        };
        let mut others = members.iter().copied().filter(|other| *other != id);
        let successor = others.find(|o| place(*o) == Some(own) && self.is_heard(*o));
        successor.map(Some)
    }
}
