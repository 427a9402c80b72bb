//! Planning of membership changes in a group whose keepers discover each other.

use std::collections::BTreeMap;
use std::time::Duration;

use shallothill_core::ids::{DataCentre, KeeperId};
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

/// Returns observations in which keeper `n` is in data centre `n % 10`. `answers` holds the second
/// of each keeper's last answer.
fn observations(answers: &[(u32, u64)]) -> BTreeMap<KeeperId, MemberObservation> {
    let of = |(id, s): &(u32, u64)| {
        let name = format!("dc-{}", id % 10);
        let observation = MemberObservation {
            data_centre: DataCentre::try_new(&name).ok(),
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

/// Guards against the removal of a member that is only cut off: without another member in its data
/// centre it stays.
#[test]
fn a_silent_member_without_a_replacement_stays() {
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
        data_centre: DataCentre::try_new("dc-5").ok(),
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
    let reason = Reason::Replaced {
        removed_member: KeeperId(5),
        silent_for: Some(Duration::from_secs(2)),
        successor: Some(KeeperId(15)),
    };
    let members = members(&[1, 2, 3, 4, 15]);
    assert_eq!(next, Some(MembershipChange { members, reason }));
}

/// Guards against a removal that is delayed while other members are silent, and against removals
/// that leave too few members or no responsive majority.
#[test]
fn a_removal_leaves_enough_members_and_a_responsive_majority() {
    let mut planner = planner();
    let one_silent = observations(&[(1, 100), (2, 100), (3, 100), (4, 50), (5, 50), (15, 100)]);
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

/// Guards against removals after which the group survives fewer losses than before, for every set
/// of silent members.
#[test]
fn a_removal_never_lowers_what_the_group_survives() {
    let group = members(&[1, 2, 3, 4, 5, 14, 15]);
    let spare_members = |members: &[KeeperId], silent: &dyn Fn(&KeeperId) -> bool| {
        let responsive = members.iter().filter(|k| !silent(k)).count();
        responsive as i64 - (members.len() / 2 + 1) as i64
    };
    for mask in 0..1u32 << group.len() {
        let silent = |k: &KeeperId| {
            let index = group.iter().position(|member| member == k);
            index.is_some_and(|i| mask & (1 << i) != 0)
        };
        let answers: Vec<(u32, u64)> = group
            .iter()
            .map(|k| (k.0, if silent(k) { 50 } else { 100 }))
            .collect();

        let next = planner().next_change(at(100), &group, &observations(&answers));

        if let Some(change) = next {
            let (before, after) = (
                spare_members(&group, &silent),
                spare_members(&change.members, &silent),
            );
            assert!(after >= before, "{mask:b}: {before} to {after}");
            assert!(change.members.len() >= 5, "{mask:b}");
        }
    }
}

/// Guards against a replaced member that stops and lowers the number of survivable losses until its
/// silence is noticed, and against a group that shrinks with each restart.
#[test]
fn a_member_that_requests_to_leave_is_removed_if_it_is_replaced() {
    let mut planner = planner();
    let observations = observations(&[(1, 100), (2, 100), (3, 100), (4, 100), (5, 100), (15, 100)]);
    planner.request_leave(at(100), KeeperId(4));
    let not_replaced = planner.next_change(at(100), &members(&[1, 2, 3, 4, 5, 15]), &observations);
    planner.request_leave(at(100), KeeperId(5));
    let replaced = planner.next_change(at(100), &members(&[1, 2, 3, 4, 5, 15]), &observations);
    let few = planner.next_change(at(100), &members(&[1, 2, 3, 5, 15]), &observations);

    assert_eq!(not_replaced, None);
    assert_eq!(
        replaced.map(|c| c.members),
        Some(members(&[1, 2, 3, 4, 15]))
    );
    assert_eq!(few, None);
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
