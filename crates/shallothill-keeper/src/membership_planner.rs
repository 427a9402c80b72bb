//! Plans changes of the members of the config log's group. The decisions are pure; the primary
//! makes them.

use std::collections::BTreeMap;
use std::time::Duration;

use shallothill_core::ids::KeeperId;
use shallothill_core::time::Millis;

/// `MEMBERS_MAX` is the largest number of members, unless the tolerated losses need as many.
const MEMBERS_MAX: usize = 9;

/// `MembershipOptions` configures when members are added and removed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MembershipOptions {
    /// Number of keepers that may be lost with their disks at the same time.
    pub tolerated_losses: usize,
    /// Time without an answer after which a member counts as silent, if the primary has sent it
    /// heartbeats for `first_heartbeats`. A member that was removed although it was only cut off
    /// joins again; a lost one lowers the number of losses that the group survives until it is
    /// removed.
    pub heartbeat_timeout: Duration,
    /// Time for which a new primary sends heartbeats before it counts members as silent. It is
    /// shorter than `heartbeat_timeout`, as a lost member was silent during the election as well.
    pub first_heartbeats: Duration,
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
            first_heartbeats: Duration::from_millis(750),
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

    // A group that needs all of its members has to grow by one to replace one.
    fn max_members(&self) -> usize {
        MEMBERS_MAX.max(self.min_members() + 1)
    }

    /// `can_leave` tells whether a group of `members` members is large enough without one of them.
    pub fn can_leave(&self, members: usize) -> bool {
        members > self.min_members()
    }

    // Whether a group of `members` members needs fewer answers for a majority once `departing` of
    // them are removed, as far as it is large enough without them. Elsewhere a silent member that
    // returns helps more than its removal does: of an odd number of members, the removal of one
    // leaves the size of a majority as it is.
    fn can_shrink(&self, members: usize, departing: usize) -> bool {
        let rest = members.saturating_sub(departing).max(self.min_members());
        majority(rest) < majority(members)
    }
}

fn majority(members: usize) -> usize {
    members / 2 + 1
}

/// `MemberObservation` tells when the primary had contact with a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberObservation {
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
    /// The member requested to leave, and the group is large enough without it.
    LeaveRequested(KeeperId),
    /// The member is silent, and the group is large enough without it.
    Silent {
        /// The member to remove.
        member: KeeperId,
        /// Time since its last answer; `None` if it never answered.
        silent_for: Option<Duration>,
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
    /// Pending joins come first, up to the largest size. A member is removed if it requested to
    /// leave, or if it is silent and the majority gets smaller without it or another keeper waits
    /// for its place. At least `min_members` remain, a majority of them responsive. Of several, the
    /// one that has been silent for longest goes first.
    ///
    /// A silent member may be gone for good or return, and its replacement may be in any data
    /// centre; the primary cannot tell. A member that returns joins again.
    pub fn next_change(
        &mut self,
        now: Millis,
        members: &[KeeperId],
        observations: &BTreeMap<KeeperId, MemberObservation>,
    ) -> Option<MembershipChange> {
        self.drop_old_requests(now, members);
        if let Some(id) = self.join_requests.keys().next()
            && members.len() < self.options.max_members()
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
        let removed = self.next_to_remove(members, &view)?;
        let rest: Vec<KeeperId> = members
            .iter()
            .copied()
            .filter(|id| *id != removed)
            .collect();
        let responsive = rest.iter().filter(|id| view.is_responsive(**id)).count();
        (responsive >= majority(rest.len())).then(|| MembershipChange {
            members: rest,
            reason: self.removal_reason(&view, removed),
        })
    }

    fn drop_old_requests(&mut self, now: Millis, members: &[KeeperId]) {
        let valid = |at: Millis| now.saturating_since(at) < self.options.request_ttl;
        self.join_requests
            .retain(|id, at| !members.contains(id) && valid(*at));
        self.leave_requests
            .retain(|id, at| members.contains(id) && valid(*at));
    }

    fn next_to_remove(&self, members: &[KeeperId], view: &GroupView<'_>) -> Option<KeeperId> {
        let requested = |id: &KeeperId| self.leave_requests.contains_key(id);
        let mut departing = members.to_vec();
        departing.retain(|id| requested(id) || view.is_silent(*id));
        if !self.options.can_shrink(members.len(), departing.len()) {
            // A join that is still pending here finds the group full.
            let place_wanted = !self.join_requests.is_empty();
            let can_leave = self.options.can_leave(members.len());
            departing.retain(|id| can_leave && (place_wanted || requested(id)));
        }
        let last_contact = |id: &KeeperId| view.last_contact(*id);
        departing.into_iter().min_by_key(last_contact)
    }

    fn removal_reason(&self, view: &GroupView<'_>, member: KeeperId) -> Reason {
        if self.leave_requests.contains_key(&member) {
            return Reason::LeaveRequested(member);
        }
        Reason::Silent {
            member,
            silent_for: view.silent_for(member),
        }
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
        let silence = self.now.saturating_since(self.last_contact(id));
        let heartbeats = self.now.saturating_since(observation.heartbeats_since);
        let heartbeats_unanswered = heartbeats >= self.options.first_heartbeats
            && silence >= self.options.heartbeat_timeout;
        heartbeats_unanswered || silence >= self.options.poll_timeout
    }

    fn silent_for(&self, id: KeeperId) -> Option<Duration> {
        let last_answer = self.observations.get(&id).and_then(|o| o.last_answer);
        last_answer.map(|at| self.now.saturating_since(at))
    }

    // The time of the last answer, or of the first poll of a member that has not answered since.
    fn last_contact(&self, id: KeeperId) -> Millis {
        let observation = self.observations.get(&id);
        observation.map_or(self.now, |o| {
            o.last_answer.unwrap_or_default().max(o.polled_since)
        })
    }
}
