//! Who belongs to the group of keepers that find each other.

use std::collections::BTreeMap;
use std::time::Duration;

use shallothill_core::ids::{DataCentre, KeeperId};
use shallothill_core::time::Millis;
use shallothill_keeper::roster::{Reason, Roster, RosterChange, RosterOptions, Sighting};

fn roster() -> Roster {
    Roster::new(RosterOptions {
        tolerated_losses: 2,
        ..RosterOptions::default()
    })
}

fn members(ids: &[u32]) -> Vec<KeeperId> {
    ids.iter().copied().map(KeeperId).collect()
}

/// Keeper `n` stands in data centre `n % 10`; `heard` gives the second in which it was heard.
fn seen(heard: &[(u32, u64)]) -> BTreeMap<KeeperId, Sighting> {
    let of = |(id, s): &(u32, u64)| {
        let name = format!("dc-{}", id % 10);
        let sighting = Sighting {
            data_centre: DataCentre::try_new(&name).ok(),
            heard: Millis(s * 1000),
        };
        (KeeperId(*id), sighting)
    };
    heard.iter().map(of).collect()
}

fn at(s: u64) -> Millis {
    Millis(0) + Duration::from_secs(s)
}

fn asked(id: u32, ids: &[u32]) -> RosterChange {
    RosterChange {
        members: members(ids),
        reason: Reason::Asked(KeeperId(id)),
    }
}

/// Guards against acknowledged changes being lost with two disks: the founders have to become a
/// group of five before anything is accepted.
#[test]
fn two_tolerated_losses_need_five_members() {
    assert_eq!(roster().options().needed(), 5);
}

/// Guards against keepers that stay outside of the group, and against two changes at once.
#[test]
fn keepers_that_ask_join_one_at_a_time() {
    let mut roster = roster();
    let seen = seen(&[(1, 5), (2, 5), (3, 5)]);
    roster.ask_to_join(at(5), KeeperId(4));
    roster.ask_to_join(at(5), KeeperId(5));

    let first = roster.next(at(5), &members(&[1, 2, 3]), &seen);
    let second = roster.next(at(5), &members(&[1, 2, 3, 4]), &seen);
    let none = roster.next(at(5), &members(&[1, 2, 3, 4, 5]), &seen);

    assert_eq!(first, Some(asked(4, &[1, 2, 3, 4])));
    assert_eq!(second, Some(asked(5, &[1, 2, 3, 4, 5])));
    assert_eq!(none, None);
}

/// Guards against a member that is merely cut off being thrown out.
#[test]
fn a_silent_member_without_a_replacement_stays() {
    let mut roster = roster();
    let seen = seen(&[(1, 100), (2, 100), (3, 100), (4, 100), (5, 0)]);

    let next = roster.next(at(100), &members(&[1, 2, 3, 4, 5]), &seen);

    assert_eq!(next, None);
}

/// Guards against quorums that grow with each replaced host: 15 stands where 5 stood.
#[test]
fn a_replaced_member_leaves_after_a_long_silence() {
    let mut roster = roster();
    let group = members(&[1, 2, 3, 4, 5, 15]);
    let early = seen(&[(1, 100), (2, 100), (3, 100), (4, 100), (5, 95), (15, 100)]);
    let late = seen(&[(1, 100), (2, 100), (3, 100), (4, 100), (5, 80), (15, 100)]);

    let too_soon = roster.next(at(100), &group, &early);
    let next = roster.next(at(100), &group, &late);

    assert_eq!(too_soon, None);
    let reason = Reason::Replaced {
        leaver: KeeperId(5),
        silent_for: Some(Duration::from_secs(20)),
        successor: Some(KeeperId(15)),
    };
    let members = members(&[1, 2, 3, 4, 15]);
    assert_eq!(next, Some(RosterChange { members, reason }));
}

/// Guards against a smaller group while others are silent: a removal must leave only members that
/// are heard, and no fewer than the losses need.
#[test]
fn nothing_is_removed_while_others_are_silent_or_few_are_left() {
    let mut roster = roster();
    let silent = seen(&[(1, 100), (2, 100), (3, 100), (4, 50), (5, 50), (15, 100)]);
    let few = seen(&[(1, 100), (2, 100), (3, 100), (5, 50), (15, 100)]);

    let others_silent = roster.next(at(100), &members(&[1, 2, 3, 4, 5, 15]), &silent);
    let too_few = roster.next(at(100), &members(&[1, 2, 3, 5, 15]), &few);

    assert_eq!(others_silent, None);
    assert_eq!(too_few, None);
}

/// Guards against requests to join that outlive their keeper.
#[test]
fn a_request_to_join_expires() {
    let mut roster = roster();
    roster.ask_to_join(at(1), KeeperId(4));

    let next = roster.next(
        at(10),
        &members(&[1, 2, 3]),
        &seen(&[(1, 10), (2, 10), (3, 10)]),
    );

    assert_eq!(next, None);
}
