//! Which keepers belong to the group of the config log: pure decisions of the primary.

use std::collections::BTreeMap;
use std::time::Duration;

use shallothill_core::ids::{DataCentre, KeeperId};
use shallothill_core::time::Millis;

/// `MEMBERS_MAX` is the largest group.
const MEMBERS_MAX: usize = 9;

/// `MembershipOptions` holds the limits of changes of the group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MembershipOptions {
    /// How many keepers may be lost with their disks at the same time.
    pub tolerated_losses: usize,
    /// How long a member may leave the heartbeats of the primary unanswered. One that is removed
    /// although it was only cut off joins again; one that is gone lowers what the group survives
    /// until it is removed.
    pub heartbeat_timeout: Duration,
    /// How long a member may leave polls unanswered; a primary that was just elected has sent them
    /// for longer than heartbeats.
    pub poll_timeout: Duration,
    /// The time for which a request to join or to leave holds; keepers repeat it.
    pub request_ttl: Duration,
}

impl Default for MembershipOptions {
    fn default() -> Self {
        Self {
            tolerated_losses: 0,
            heartbeat_timeout: Duration::from_millis(1500),
            poll_timeout: Duration::from_millis(3500),
            request_ttl: Duration::from_secs(2),
        }
    }
}

impl MembershipOptions {
    /// `min_members` returns the size from which a group survives the tolerated losses: what a majority
    /// holds is still held by one of them when that many disks are lost.
    pub fn min_members(&self) -> usize {
        2 * self.tolerated_losses + 1
    }
}

/// `MemberObservation` is what the primary knows of a keeper.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberObservation {
    /// The data centre, if it is known.
    pub data_centre: Option<DataCentre>,
    /// When it last answered, if it ever did.
    pub last_answer: Option<Millis>,
    /// Since when it is polled.
    pub polled_since: Millis,
    /// Since when it gets heartbeats.
    pub heartbeats_since: Millis,
}

/// `Reason` tells why the members change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The keeper asked to join.
    JoinRequested(KeeperId),
    /// The keeper is silent or asked to leave, and another member stands in its place.
    Replaced {
        /// The keeper that leaves.
        removed_member: KeeperId,
        /// The time without an answer; `None` if it was never heard.
        silent_for: Option<Duration>,
        /// The member that is heard in the same data centre; `None` if the place of the leaver is
        /// unknown.
        successor: Option<KeeperId>,
    },
}

/// `MembershipChange` is a change of the group by one member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MembershipChange {
    /// All members after the change.
    pub members: Vec<KeeperId>,
    /// Why they change.
    pub reason: Reason,
}

/// `MembershipPlanner` decides on the next change of the group, one member at a time.
#[derive(Clone, Debug, Default)]
pub struct MembershipPlanner {
    options: MembershipOptions,
    join_requests: BTreeMap<KeeperId, Millis>,
    leave_requests: BTreeMap<KeeperId, Millis>,
}

impl MembershipPlanner {
    /// `new` builds a roster without requests to join.
    pub fn new(options: MembershipOptions) -> Self {
        Self {
            options,
            join_requests: BTreeMap::new(),
            leave_requests: BTreeMap::new(),
        }
    }

    /// `options` returns the limits.
    pub fn options(&self) -> &MembershipOptions {
        &self.options
    }

    /// `request_join` notes that a keeper that holds the whole log wants to be a member.
    pub fn request_join(&mut self, now: Millis, id: KeeperId) {
        self.join_requests.insert(id, now);
    }

    /// `request_leave` notes that a member is about to stop.
    pub fn request_leave(&mut self, now: Millis, id: KeeperId) {
        self.leave_requests.insert(id, now);
    }

    /// `next_change` returns the next change, or `None` when nothing is to change.
    ///
    /// A keeper that asks joins first. A member is removed only when it is silent or asks to leave,
    /// another member that is heard stands in its data centre, and the rest is large enough and mostly heard.
    /// Others may be silent meanwhile: without the member that is gone, the group survives as many
    /// of their losses as before, or one more.
    pub fn next_change(
        &mut self,
        now: Millis,
        members: &[KeeperId],
        observations: &BTreeMap<KeeperId, MemberObservation>,
    ) -> Option<MembershipChange> {
        let holds = |at: Millis| now.saturating_since(at) < self.options.request_ttl;
        self.join_requests
            .retain(|id, at| !members.contains(id) && holds(*at));
        self.leave_requests
            .retain(|id, at| members.contains(id) && holds(*at));
        if let Some(id) = self.join_requests.keys().next()
            && members.len() < MEMBERS_MAX
        {
            return Some(MembershipChange {
                members: members.iter().copied().chain([*id]).collect(),
                reason: Reason::JoinRequested(*id),
            });
        }
        let view = GroupView {
            now,
            observations,
            options: &self.options,
        };
        let leaves = |id: &KeeperId| self.leave_requests.contains_key(id) || view.is_silent(*id);
        let (removed_member, successor) = members
            .iter()
            .copied()
            .filter(leaves)
            .filter_map(|id| Some((id, view.successor(id, members)?)))
            .next()?;
        let rest: Vec<KeeperId> = members
            .iter()
            .copied()
            .filter(|id| *id != removed_member)
            .collect();
        let heard = rest.iter().filter(|id| view.is_responsive(**id)).count();
        let allowed = rest.len() >= self.options.min_members() && heard > rest.len() / 2;
        allowed.then_some(MembershipChange {
            members: rest,
            reason: Reason::Replaced {
                removed_member,
                silent_for: view.silent_for(removed_member),
                successor,
            },
        })
    }
}

/// `GroupView` is what the primary knows at a time.
struct GroupView<'a> {
    now: Millis,
    observations: &'a BTreeMap<KeeperId, MemberObservation>,
    options: &'a MembershipOptions,
}

impl GroupView<'_> {
    fn is_responsive(&self, id: KeeperId) -> bool {
        let heard = self.observations.get(&id).and_then(|s| s.last_answer);
        let recent = |at| self.now.saturating_since(at) < self.options.poll_timeout;
        heard.is_some_and(recent) && !self.is_silent(id)
    }

    // A keeper that had no time to answer yet is neither heard nor silent.
    fn is_silent(&self, id: KeeperId) -> bool {
        let Some(observation) = self.observations.get(&id) else {
            return false;
        };
        let quiet_since = |start: Millis| observation.last_answer.map_or(start, |at| at.max(start));
        let quiet = |start| self.now.saturating_since(quiet_since(start));
        quiet(observation.heartbeats_since) >= self.options.heartbeat_timeout
            || quiet(observation.polled_since) >= self.options.poll_timeout
    }

    fn silent_for(&self, id: KeeperId) -> Option<Duration> {
        let heard = self.observations.get(&id).and_then(|s| s.last_answer);
        heard.map(|at| self.now.saturating_since(at))
    }

    // `None` if nobody stands in the place of `id`, `Some(None)` if its place is unknown and the
    // group is large enough without it.
    fn successor(&self, id: KeeperId, members: &[KeeperId]) -> Option<Option<KeeperId>> {
        let place = |id: KeeperId| {
            self.observations
                .get(&id)
                .and_then(|s| s.data_centre.as_ref())
        };
        let Some(own) = place(id) else {
            return (members.len() > self.options.min_members()).then_some(None);
        };
        let mut others = members.iter().copied().filter(|other| *other != id);
        let successor = others.find(|o| place(*o) == Some(own) && self.is_responsive(*o));
        successor.map(Some)
    }
}
