//! Plans changes of the members of the config log's group. The decisions are pure; the primary
//! makes them.

use std::collections::BTreeMap;
use std::time::Duration;

use shallothill_core::ids::{DataCentre, KeeperId};
use shallothill_core::time::Millis;

/// `MEMBERS_MAX` is the largest number of members.
const MEMBERS_MAX: usize = 9;

/// `MembershipOptions` configures when members are added and removed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MembershipOptions {
    /// Number of keepers that may be lost with their disks at the same time.
    pub tolerated_losses: usize,
    /// Time without an answer to the primary's heartbeats after which a member counts as silent. A
    /// member that was removed although it was only cut off joins again; a lost one lowers the
    /// number of losses that the group survives until it is removed.
    pub heartbeat_timeout: Duration,
    /// Time without an answer to polls after which a member counts as silent. A primary that was
    /// just elected has sent polls for longer than heartbeats.
    pub poll_timeout: Duration,
    /// Time for which a request to join or to leave is valid; keepers repeat it.
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
    /// `min_members` returns the smallest size of a group that survives the tolerated losses: after
    /// that many lost disks, at least one member of each majority still holds its data.
    pub fn min_members(&self) -> usize {
        2 * self.tolerated_losses + 1
    }
}

/// `MemberObservation` tells when the primary had contact with a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberObservation {
    /// Data centre of the member; `None` until it is known.
    pub data_centre: Option<DataCentre>,
    /// Time of its last answer; `None` before the first one.
    pub last_answer: Option<Millis>,
    /// Time of the first poll.
    pub polled_since: Millis,
    /// Time of the first heartbeat of this primary.
    pub heartbeats_since: Millis,
}

/// `Reason` tells why a member is added or removed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The keeper requested to join.
    JoinRequested(KeeperId),
    /// The member is silent or requested to leave, and another member replaces it.
    Replaced {
        /// The member to remove.
        removed_member: KeeperId,
        /// Time since its last answer; `None` if it never answered.
        silent_for: Option<Duration>,
        /// The responsive member in the same data centre; `None` if the data centre of the removed
        /// member is unknown.
        successor: Option<KeeperId>,
    },
}

/// `MembershipChange` adds or removes one member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MembershipChange {
    /// All members after the change.
    pub members: Vec<KeeperId>,
    /// Why a member is added or removed.
    pub reason: Reason,
}

/// `MembershipPlanner` decides on the next change of the members, one member at a time.
#[derive(Clone, Debug, Default)]
pub struct MembershipPlanner {
    options: MembershipOptions,
    join_requests: BTreeMap<KeeperId, Millis>,
    leave_requests: BTreeMap<KeeperId, Millis>,
}

impl MembershipPlanner {
    /// `new` builds a planner without pending requests.
    pub fn new(options: MembershipOptions) -> Self {
        Self {
            options,
            join_requests: BTreeMap::new(),
            leave_requests: BTreeMap::new(),
        }
    }

    /// `options` returns the options that the planner was built with.
    pub fn options(&self) -> &MembershipOptions {
        &self.options
    }

    /// `request_join` records that a keeper with a complete log requests to become a member.
    pub fn request_join(&mut self, now: Millis, id: KeeperId) {
        self.join_requests.insert(id, now);
    }

    /// `request_leave` records that a member is about to stop.
    pub fn request_leave(&mut self, now: Millis, id: KeeperId) {
        self.leave_requests.insert(id, now);
    }

    /// `next_change` returns the next change, or `None` when the members stay as they are.
    ///
    /// Pending joins come first. A member is removed only when it is silent or requested to leave,
    /// another responsive member is in its data centre, and the remaining members are at least
    /// `min_members` with a responsive majority. Other members may be silent meanwhile: without the
    /// removed member, the group survives as many of their losses as before, or one more.
    pub fn next_change(
        &mut self,
        now: Millis,
        members: &[KeeperId],
        observations: &BTreeMap<KeeperId, MemberObservation>,
    ) -> Option<MembershipChange> {
        let valid = |at: Millis| now.saturating_since(at) < self.options.request_ttl;
        self.join_requests
            .retain(|id, at| !members.contains(id) && valid(*at));
        self.leave_requests
            .retain(|id, at| members.contains(id) && valid(*at));
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
        let should_leave =
            |id: &KeeperId| self.leave_requests.contains_key(id) || view.is_silent(*id);
        let (removed_member, successor) = members
            .iter()
            .copied()
            .filter(should_leave)
            .filter_map(|id| Some((id, view.successor(id, members)?)))
            .next()?;
        let rest: Vec<KeeperId> = members
            .iter()
            .copied()
            .filter(|id| *id != removed_member)
            .collect();
        let responsive = rest.iter().filter(|id| view.is_responsive(**id)).count();
        let allowed = rest.len() >= self.options.min_members() && responsive > rest.len() / 2;
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

/// `GroupView` evaluates the primary's observations at one point in time.
struct GroupView<'a> {
    now: Millis,
    observations: &'a BTreeMap<KeeperId, MemberObservation>,
    options: &'a MembershipOptions,
}

impl GroupView<'_> {
    fn is_responsive(&self, id: KeeperId) -> bool {
        let last_answer = self.observations.get(&id).and_then(|o| o.last_answer);
        let recent = |at| self.now.saturating_since(at) < self.options.poll_timeout;
        last_answer.is_some_and(recent) && !self.is_silent(id)
    }

    // A member that had no time to answer yet is neither responsive nor silent.
    fn is_silent(&self, id: KeeperId) -> bool {
        let Some(observation) = self.observations.get(&id) else {
            return false;
        };
        let silent_since =
            |start: Millis| observation.last_answer.map_or(start, |at| at.max(start));
        let silence = |start| self.now.saturating_since(silent_since(start));
        silence(observation.heartbeats_since) >= self.options.heartbeat_timeout
            || silence(observation.polled_since) >= self.options.poll_timeout
    }

    fn silent_for(&self, id: KeeperId) -> Option<Duration> {
        let last_answer = self.observations.get(&id).and_then(|o| o.last_answer);
        last_answer.map(|at| self.now.saturating_since(at))
    }

    // `None` if no other responsive member is in the data centre of `id`, `Some(None)` if its data
    // centre is unknown and the group is large enough without it.
    fn successor(&self, id: KeeperId, members: &[KeeperId]) -> Option<Option<KeeperId>> {
        let data_centre_of = |id: KeeperId| {
            self.observations
                .get(&id)
                .and_then(|o| o.data_centre.as_ref())
        };
        let Some(own) = data_centre_of(id) else {
            return (members.len() > self.options.min_members()).then_some(None);
        };
        let mut others = members.iter().copied().filter(|other| *other != id);
        let successor = others.find(|o| data_centre_of(*o) == Some(own) && self.is_responsive(*o));
        successor.map(Some)
    }
}
