//! Planning of membership changes in a group whose keepers discover each other.

use std::collections::BTreeMap;
use std::time::Duration;

use shallothill_core::ids::KeeperId;
use shallothill_core::time::Millis;
use shallothill_keeper::membership_planner::{
    MemberObservation, MembershipChange, MembershipOptions, MembershipPlanner, Reason,
};

fn planner() -> MembershipPlanner {
    MembershipPlanner::new(MembershipOptions {
        tolerated_losses: 2,
        ..MembershipOptions::default()
    })
}

fn members(ids: &[u32]) -> Vec<KeeperId> {
    ids.iter().copied().map(KeeperId).collect()
}

/// Returns observations of keepers; `answers` holds the second of each keeper's last answer.
fn observations(answers: &[(u32, u64)]) -> BTreeMap<KeeperId, MemberObservation> {
    let of = |(id, s): &(u32, u64)| {
        let observation = MemberObservation {
            last_answer: Some(Millis(s * 1000)),
            polled_since: Millis(0),
            heartbeats_since: Millis(0),
        };
        (KeeperId(*id), observation)
    };
    answers.iter().map(of).collect()
}

fn at(s: u64) -> Millis {
    Millis(0) + Duration::from_secs(s)
}

fn joined(id: u32, ids: &[u32]) -> MembershipChange {
    MembershipChange {
        members: members(ids),
        reason: Reason::JoinRequested(KeeperId(id)),
    }
}

/// Guards against the loss of acknowledged changes with two disks: with two tolerated losses, a
/// group of fewer than five members must not accept changes.
#[test]
fn two_tolerated_losses_need_five_members() {
    assert_eq!(planner().options().min_members(), 5);
}

/// Guards against join requests that are ignored, and against adding two members in one change.
#[test]
fn keepers_that_request_it_join_one_at_a_time() {
    let mut planner = planner();
    let observations = observations(&[(1, 5), (2, 5), (3, 5)]);
    planner.request_join(at(5), KeeperId(4));
    planner.request_join(at(5), KeeperId(5));

    let first = planner.next_change(at(5), &members(&[1, 2, 3]), &observations);
    let second = planner.next_change(at(5), &members(&[1, 2, 3, 4]), &observations);
    let none = planner.next_change(at(5), &members(&[1, 2, 3, 4, 5]), &observations);

    assert_eq!(first, Some(joined(4, &[1, 2, 3, 4])));
    assert_eq!(second, Some(joined(5, &[1, 2, 3, 4, 5])));
    assert_eq!(none, None);
}

/// Guards against the removal of a member that is only cut off from a group that has no member to
/// spare.
#[test]
fn a_silent_member_of_the_smallest_group_stays() {
    let mut planner = planner();
    let observations = observations(&[(1, 100), (2, 100), (3, 100), (4, 100), (5, 0)]);

    let next = planner.next_change(at(100), &members(&[1, 2, 3, 4, 5]), &observations);

    assert_eq!(next, None);
}

/// Guards against the removal of a member that has just joined instead of the one that it replaces.
#[test]
fn a_new_member_that_had_no_time_to_answer_stays() {
    let mut planner = planner();
    let mut observations = observations(&[(1, 100), (2, 100), (3, 100), (4, 100), (5, 99)]);
    let joined = MemberObservation {
        last_answer: None,
        polled_since: at(100),
        heartbeats_since: at(100),
    };
    observations.insert(KeeperId(15), joined);

    let next = planner.next_change(at(100), &members(&[1, 2, 3, 4, 5, 15]), &observations);

    assert_eq!(next, None);
}

/// Guards against a primary that was suspended and then removes members whose answers are still
/// unread.
#[test]
fn a_primary_without_recent_answers_removes_no_member() {
    let mut planner = planner();
    let group = [(1, 100), (2, 98), (3, 98), (4, 98), (5, 97), (15, 98)];

    let next = planner.next_change(
        at(100),
        &members(&[1, 2, 3, 4, 5, 15]),
        &observations(&group),
    );

    assert_eq!(next, None);
}

/// Guards against groups and quorums that grow with each replaced host: 15 replaces 5.
#[test]
fn a_replaced_member_is_removed_once_it_is_silent() {
    let mut planner = planner();
    let group = members(&[1, 2, 3, 4, 5, 15]);
    let early = observations(&[(1, 100), (2, 100), (3, 100), (4, 100), (5, 99), (15, 100)]);
    let late = observations(&[(1, 100), (2, 100), (3, 100), (4, 100), (5, 98), (15, 100)]);

    let too_soon = planner.next_change(at(100), &group, &early);
    let next = planner.next_change(at(100), &group, &late);

    assert_eq!(too_soon, None);
    let reason = Reason::Silent {
        member: KeeperId(5),
        silent_for: Some(Duration::from_secs(2)),
    };
    let members = members(&[1, 2, 3, 4, 15]);
    assert_eq!(next, Some(MembershipChange { members, reason }));
}

/// Guards against a removal that is delayed while other members are silent, and against removals
/// that leave too few members or no responsive majority.
#[test]
fn a_removal_leaves_enough_members_and_a_responsive_majority() {
    let mut planner = planner();
    let one_silent = observations(&[(1, 100), (2, 100), (3, 100), (4, 60), (5, 50), (15, 100)]);
    let most_silent = observations(&[(1, 100), (2, 50), (3, 50), (4, 50), (5, 50), (15, 100)]);
    let few = observations(&[(1, 100), (2, 100), (3, 100), (5, 50), (15, 100)]);

    let while_one_is_silent =
        planner.next_change(at(100), &members(&[1, 2, 3, 4, 5, 15]), &one_silent);
    let while_most_are_silent =
        planner.next_change(at(100), &members(&[1, 2, 3, 4, 5, 15]), &most_silent);
    let too_few = planner.next_change(at(100), &members(&[1, 2, 3, 5, 15]), &few);

    let left = while_one_is_silent.map(|c| c.members);
    assert_eq!(left, Some(members(&[1, 2, 3, 4, 15])));
    assert_eq!(while_most_are_silent, None);
    assert_eq!(too_few, None);
}

/// Returns the ids 1 to `size` and those of them whose bits in `mask` are set.
fn group_with_silent_members(size: u32, mask: u32) -> (Vec<KeeperId>, Vec<KeeperId>) {
    let group: Vec<KeeperId> = (1..=size).map(KeeperId).collect();
    let is_silent = |k: &KeeperId| mask & (1 << (k.0 - 1)) != 0;
    let silent = group.iter().copied().filter(is_silent).collect();
    (group, silent)
}

/// Returns the changes of a group that follow each other while the same members stay silent.
fn removals(group: &[KeeperId], silent: &[KeeperId]) -> Vec<MembershipChange> {
    let answers: Vec<(u32, u64)> = group
        .iter()
        .map(|k| (k.0, if silent.contains(k) { 50 } else { 100 }))
        .collect();
    let observations = observations(&answers);
    let mut planner = planner();
    let mut members = group.to_vec();
    let mut changes: Vec<MembershipChange> = Vec::new();
    while let Some(change) = planner.next_change(at(100), &members, &observations) {
        members.clone_from(&change.members);
        changes.push(change);
    }
    changes
}

/// Returns how many more responsive members `members` may lose and keep a majority.
fn spare_members(members: &[KeeperId], silent: &[KeeperId]) -> i64 {
    let responsive = members.iter().filter(|k| !silent.contains(k)).count();
    responsive as i64 - (members.len() / 2 + 1) as i64
}

/// Guards against removals after which the group survives fewer losses than before, for every set
/// of silent members.
#[test]
fn a_removal_never_lowers_what_the_group_survives() {
    for size in 1..=9 {
        for mask in 0..1u32 << size {
            let (group, silent) = group_with_silent_members(size, mask);

            let changes = removals(&group, &silent);

            let mut before = spare_members(&group, &silent);
            for change in changes {
                let after = spare_members(&change.members, &silent);
                assert!(after >= before, "{size}, {mask:b}: {before} to {after}");
                assert!(change.members.len() >= 5, "{size}, {mask:b}");
                before = after;
            }
        }
    }
}

/// Guards against members that are gone for good and stay because their replacements are in other
/// data centres: a group with enough responsive members survives the tolerated losses, whichever
/// members are silent.
#[test]
fn a_group_with_enough_responsive_members_survives_the_tolerated_losses() {
    for size in 5..=9 {
        for mask in 0..1u32 << size {
            let (group, silent) = group_with_silent_members(size, mask);
            if group.len() - silent.len() < planner().options().min_members() {
                continue;
            }

            let changes = removals(&group, &silent);

            let last = changes.last().map_or(&group, |c| &c.members);
            let spare = spare_members(last, &silent);
            assert!(spare >= 2, "{size}, {mask:b}: {spare}");
        }
    }
}

/// Guards against the removal of a member that was silent for a moment in place of the one that is
/// gone: 5 is gone, 1 has just become silent.
#[test]
fn the_member_that_is_silent_for_longest_is_removed_first() {
    let mut planner = planner();
    let observations = observations(&[(1, 98), (2, 100), (3, 100), (4, 100), (5, 90), (6, 100)]);

    let next = planner.next_change(at(100), &members(&[1, 2, 3, 4, 5, 6]), &observations);

    assert_eq!(next.map(|c| c.members), Some(members(&[1, 2, 3, 4, 6])));
}

/// Guards against a group that shrinks with each outage although its majority stays the same size.
#[test]
fn a_silent_member_of_a_group_of_odd_size_stays() {
    let mut planner = planner();
    let group = [1, 2, 3, 4, 5, 6, 7];
    let observations = observations(&group.map(|id| (id, if id == 4 { 50 } else { 100 })));

    let next = planner.next_change(at(100), &members(&group), &observations);

    assert_eq!(next, None);
}

/// Guards against a member that stops and lowers the number of survivable losses until its silence
/// is noticed, and against a group that gets too small with each restart.
#[test]
fn a_member_that_requests_to_leave_is_removed_if_the_group_is_large_enough() {
    let mut planner = planner();
    let observations = observations(&[(1, 100), (2, 100), (3, 100), (4, 100), (5, 100), (15, 100)]);
    planner.request_leave(at(100), KeeperId(5));
    let first = planner.next_change(at(100), &members(&[1, 2, 3, 4, 5, 15]), &observations);
    planner.request_leave(at(100), KeeperId(4));
    let second = planner.next_change(at(100), &members(&[1, 2, 3, 4, 15]), &observations);
    let few = planner.next_change(at(100), &members(&[1, 2, 3, 15]), &observations);

    let members = members(&[1, 2, 3, 4, 15]);
    let reason = Reason::LeaveRequested(KeeperId(5));
    assert_eq!(first, Some(MembershipChange { members, reason }));
    assert_eq!(second, None);
    assert_eq!(few, None);
}

/// Guards against overlapping planned replacements of which the first one stays a member until its
/// silence is noticed, because its removal leaves the size of a majority as it is.
#[test]
fn a_member_of_a_group_of_odd_size_may_leave() {
    let mut planner = planner();
    let group = [1, 2, 3, 4, 5, 6, 7];
    let observations = observations(&group.map(|id| (id, 100)));
    planner.request_leave(at(100), KeeperId(4));

    let next = planner.next_change(at(100), &members(&group), &observations);

    let members = members(&[1, 2, 3, 5, 6, 7]);
    let reason = Reason::LeaveRequested(KeeperId(4));
    assert_eq!(next, Some(MembershipChange { members, reason }));
}

/// Guards against a group of the largest size that no successor can join, because the member that
/// is gone takes its place: 5 is gone, 10 asks to join.
#[test]
fn a_full_group_removes_a_silent_member_for_a_new_one() {
    let mut planner = planner();
    let group = [1, 2, 3, 4, 5, 6, 7, 8, 9];
    let observations = observations(&group.map(|id| (id, if id == 5 { 50 } else { 100 })));
    let without_request = planner.next_change(at(100), &members(&group), &observations);
    planner.request_join(at(100), KeeperId(10));

    let removed = planner.next_change(at(100), &members(&group), &observations);
    let eight = [1, 2, 3, 4, 6, 7, 8, 9];
    let joined = planner.next_change(at(100), &members(&eight), &observations);

    assert_eq!(without_request, None);
    assert_eq!(removed.map(|c| c.members), Some(members(&eight)));
    let with_new = members(&[1, 2, 3, 4, 6, 7, 8, 9, 10]);
    assert_eq!(joined.map(|c| c.members), Some(with_new));
}

/// Guards against a group that needs the largest size for its tolerated losses and cannot replace a
/// member, because it can neither grow nor shrink.
#[test]
fn a_group_that_needs_nine_members_grows_to_replace_one() {
    let mut planner = MembershipPlanner::new(MembershipOptions {
        tolerated_losses: 4,
        ..MembershipOptions::default()
    });
    let group = [1, 2, 3, 4, 5, 6, 7, 8, 9];
    let grown = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];
    let observations = observations(&grown.map(|id| (id, if id == 5 { 50 } else { 100 })));
    planner.request_join(at(100), KeeperId(10));

    let joined = planner.next_change(at(100), &members(&group), &observations);
    let removed = planner.next_change(at(100), &members(&grown), &observations);

    assert_eq!(joined.map(|c| c.members), Some(members(&grown)));
    let rest = members(&[1, 2, 3, 4, 6, 7, 8, 9, 10]);
    assert_eq!(removed.map(|c| c.members), Some(rest));
}

/// Guards against a new primary that waits for the heartbeat timeout although the lost member has
/// left polls unanswered for longer.
#[test]
fn a_new_primary_removes_a_member_that_answers_no_polls_at_once() {
    let mut planner = planner();
    let mut observations =
        observations(&[(1, 100), (2, 100), (3, 100), (4, 100), (5, 96), (15, 100)]);
    for observation in observations.values_mut() {
        observation.heartbeats_since = at(100);
    }

    let next = planner.next_change(at(100), &members(&[1, 2, 3, 4, 5, 15]), &observations);

    assert_eq!(next.map(|c| c.members), Some(members(&[1, 2, 3, 4, 15])));
}

/// Guards against a new primary that takes as long again to find a lost member silent as the
/// election has taken: the member may be one that the next loss must not add to.
#[test]
fn a_new_primary_removes_a_member_that_answers_none_of_its_first_heartbeats() {
    let mut planner = planner();
    let group = members(&[1, 2, 3, 4, 5, 15]);
    let mut observations =
        observations(&[(1, 100), (2, 100), (3, 100), (4, 100), (5, 98), (15, 100)]);
    let mut elected_at = |ms: u64| {
        for observation in observations.values_mut() {
            observation.heartbeats_since = Millis(ms);
        }
        planner.next_change(at(100), &group, &observations)
    };

    let too_soon = elected_at(99_500);
    let next = elected_at(99_000);

    assert_eq!(too_soon, None);
    assert_eq!(next.map(|c| c.members), Some(members(&[1, 2, 3, 4, 15])));
}

/// Guards against a join request that is granted after its keeper is gone.
#[test]
fn a_request_to_join_expires() {
    let mut planner = planner();
    planner.request_join(at(1), KeeperId(4));

    let next = planner.next_change(
        at(10),
        &members(&[1, 2, 3]),
        &observations(&[(1, 10), (2, 10), (3, 10)]),
    );

    assert_eq!(next, None);
}
