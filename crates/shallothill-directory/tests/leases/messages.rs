//! Leases under single chosen sequences of messages.

use std::time::Duration;

use shallothill_core::ids::KeeperId;
use shallothill_core::time::Millis;
use shallothill_directory::{HolderState, LeaseAnswer, LeaseOptions, LeaseTable};

use crate::support::{holder, keepers};

fn members() -> Vec<LeaseTable> {
    let member = |k| LeaseTable::new(k, Millis(0), LeaseOptions::default());
    keepers().into_iter().map(member).collect()
}

/// Guards against two holders of one token: a release that arrives after its sender has taken the
/// token again must not free it.
#[test]
fn holds_ejection_floor_when_a_release_is_late() {
    let mut members = members();
    let mut a = holder(0, 1);
    let mut b = holder(1, 1);
    let mut now = Millis(10_000);
    a.request_lease();
    let req = a.poll(now).unwrap();
    for m in &mut members {
        a.on_reply(now, &m.request(now, &req, 1));
    }
    let late = a.release_lease().unwrap();
    now = now + Duration::from_secs(3);
    a.request_lease();
    let req = a.poll(now).unwrap();
    for m in &mut members {
        a.on_reply(now, &m.request(now, &req, 1));
    }

    members.iter_mut().for_each(|m| m.release(&late));
    b.request_lease();
    let req = b.poll(now).unwrap();
    for m in &mut members {
        b.on_reply(now, &m.request(now, &req, 1));
    }

    assert_eq!(a.state(now), HolderState::Holding);
    assert_eq!(b.state(now), HolderState::Requesting);
}

/// Guards against a lease that outlives the keepers' grants: it counts from the sending.
#[test]
fn a_late_grant_does_not_lengthen_the_lease() {
    let mut members = members();
    let mut a = holder(0, 1);
    let sent = Millis(10_000);
    a.request_lease();
    let req = a.poll(sent).unwrap();
    let replies: Vec<_> = members
        .iter_mut()
        .map(|m| m.request(sent, &req, 1))
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

/// Guards against a keeper that forgot its grants by a restart and grants a held token again.
#[test]
fn a_restarted_keeper_is_quiet() {
    let started = Millis(50_000);
    let mut member = LeaseTable::new(KeeperId(0), started, LeaseOptions::default());
    let mut a = holder(0, 1);
    a.request_lease();
    let req = a.poll(started).unwrap();

    let early = member.request(started + Duration::from_millis(6999), &req, 1);
    let later = member.request(started + Duration::from_secs(7), &req, 1);

    assert_eq!(early.answer, LeaseAnswer::Starting);
    assert_eq!(later.answer, LeaseAnswer::Granted);
}

/// Guards against ejections that go on after other servers crashed: a renewal beyond the budget
/// is refused, and the holder stops at once.
#[test]
fn a_shrunk_budget_ends_the_lease() {
    let mut members = members();
    let mut a = holder(0, 1);
    let mut now = Millis(10_000);
    a.request_lease();
    let req = a.poll(now).unwrap();
    for m in &mut members {
        a.on_reply(now, &m.request(now, &req, 1));
    }
    now = now + Duration::from_secs(2);

    let req = a.poll(now).unwrap();
    for m in &mut members {
        a.on_reply(now, &m.request(now, &req, 0));
    }

    assert_eq!(a.state(now), HolderState::Requesting);
}
