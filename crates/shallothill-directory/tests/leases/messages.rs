//! Leases under chosen sequences of messages.

use std::time::Duration;

use shallothill_core::ids::KeeperId;
use shallothill_core::time::Millis;
use shallothill_directory::{HolderState, LeaseAnswer, LeaseOptions, LeaseTable};

use crate::support::{holder, keepers};

fn tables() -> Vec<LeaseTable> {
    let table = |k| LeaseTable::new(k, Millis(0), LeaseOptions::default());
    keepers().into_iter().map(table).collect()
}

/// Guards against two holders of one token when a release arrives after its sender has been granted
/// the token again.
#[test]
fn holds_ejection_floor_when_a_release_is_late() {
    let mut tables = tables();
    let mut a = holder(0, 1);
    let mut b = holder(1, 1);
    let mut now = Millis(10_000);
    a.request_lease();
    let req = a.poll(now).unwrap();
    for t in &mut tables {
        a.on_reply(now, &t.handle_request(now, &req, 1));
    }
    let late_release = a.release_lease().unwrap();
    now = now + Duration::from_secs(3);
    a.request_lease();
    let req = a.poll(now).unwrap();
    for t in &mut tables {
        a.on_reply(now, &t.handle_request(now, &req, 1));
    }

    tables
        .iter_mut()
        .for_each(|t| t.handle_release(&late_release));
    b.request_lease();
    let req = b.poll(now).unwrap();
    for t in &mut tables {
        b.on_reply(now, &t.handle_request(now, &req, 1));
    }

    assert_eq!(a.state(now), HolderState::Holding);
    assert_eq!(b.state(now), HolderState::Requesting);
}

/// Guards against a lease that outlasts the keepers' grants because it starts with a late reply and
/// not with the request.
#[test]
fn a_late_grant_does_not_lengthen_the_lease() {
    let mut tables = tables();
    let mut a = holder(0, 1);
    let sent = Millis(10_000);
    a.request_lease();
    let req = a.poll(sent).unwrap();
    let replies: Vec<_> = tables
        .iter_mut()
        .map(|t| t.handle_request(sent, &req, 1))
        .collect();

    let arrived = sent + Duration::from_millis(4900);
    for reply in &replies {
        a.on_reply(arrived, reply);
    }

    assert_eq!(a.state(arrived), HolderState::Holding);
    assert_eq!(
        a.state(sent + Duration::from_secs(5)),
        HolderState::Requesting
    );
}

/// Guards against a keeper that loses its grants in a restart and grants a held token again.
#[test]
fn a_restarted_keeper_waits_before_it_grants() {
    let started = Millis(50_000);
    let mut table = LeaseTable::new(KeeperId(0), started, LeaseOptions::default());
    let mut a = holder(0, 1);
    a.request_lease();
    let req = a.poll(started).unwrap();

    let early = table.handle_request(started + Duration::from_millis(6999), &req, 1);
    let later = table.handle_request(started + Duration::from_secs(7), &req, 1);

    assert_eq!(early.answer, LeaseAnswer::Starting);
    assert_eq!(later.answer, LeaseAnswer::Granted);
}

/// Guards against an ejection that goes on after other backend servers crashed: the keepers refuse
/// a renewal beyond the budget, and the holder ends its lease at once.
#[test]
fn a_shrunk_budget_ends_the_lease() {
    let mut tables = tables();
    let mut a = holder(0, 1);
    let mut now = Millis(10_000);
    a.request_lease();
    let req = a.poll(now).unwrap();
    for t in &mut tables {
        a.on_reply(now, &t.handle_request(now, &req, 1));
    }
    now = now + Duration::from_secs(2);

    let req = a.poll(now).unwrap();
    for t in &mut tables {
        a.on_reply(now, &t.handle_request(now, &req, 0));
    }

    assert_eq!(a.state(now), HolderState::Requesting);
}
