//! Tests of the notices that gates send about their backend servers.

use std::time::Duration;

use shallothill_core::health::ServingState;
use shallothill_core::ids::NodeName;
use shallothill_core::time::Millis;
use shallothill_policy::notices::{Condition, NoticeOptions, NoticeSchedule, RecentSenders};
use shallothill_policy::pick::ReportedLoad;

const POLL_MS: u64 = 50;

fn load(state: ServingState, in_flight: u16) -> ReportedLoad {
    ReportedLoad {
        in_flight,
        slots: 8,
        queued: 0,
        state,
        state_valid_ms: 0,
    }
}

/// Polls for `ms` with the load that `at` returns; returns the notices to the region, those that
/// report a change, and those to other regions.
fn count(
    schedule: &mut NoticeSchedule,
    ms: std::ops::Range<u64>,
    at: impl Fn(u64) -> ReportedLoad,
) -> (u32, u32, u32) {
    let (mut region, mut changed, mut far) = (0, 0, 0);
    for now in ms.step_by(POLL_MS as usize) {
        if let Some(r) = schedule.poll(Millis(now), &at(now), &NoticeOptions::default()) {
            region += u32::from(r.region);
            changed += u32::from(r.changed);
            far += u32::from(r.other_regions);
        }
    }
    (region, changed, far)
}

/// Guards against nodes that forget a suspicion while the gate holds on to it, and against messages
/// between regions that only repeat what was said.
#[test]
fn a_suspicion_is_repeated_in_the_region_only() {
    let mut schedule = NoticeSchedule::default();
    let suspected = |_| load(ServingState::Demoted, 0);

    let (region, changed, far) = count(&mut schedule, 0..4000, suspected);

    assert_eq!((region, changed, far), (5, 1, 1));
}

/// Guards against a state that is reported as changed whenever a trial falls due.
#[test]
fn a_trial_that_falls_due_is_no_change() {
    let mut schedule = NoticeSchedule::default();
    let suspected = |now: u64| match now % 400 < 200 {
        true => load(ServingState::Demoted, 0),
        false => load(ServingState::Ejected, 0),
    };

    let (_, changed, far) = count(&mut schedule, 0..4000, suspected);

    assert_eq!((changed, far), (1, 1));
}

/// Guards against a full server that is reported as free each time that one slot changes hands.
#[test]
fn a_slot_that_changes_hands_does_not_flap() {
    let mut schedule = NoticeSchedule::default();
    let busy = |now: u64| load(ServingState::Ready, 8 - (now % 100 / 50) as u16);

    let (_, changed, far) = count(&mut schedule, 0..4000, busy);
    assert_eq!((changed, far), (1, 0));

    let freed = schedule.poll(
        Millis(4000),
        &load(ServingState::Ready, 6),
        &NoticeOptions::default(),
    );
    assert_eq!(freed.map(|r| r.condition), Some(Condition::Usual));
}

/// Guards against a server that is taken for full for long after one slot has become free.
#[test]
fn a_free_slot_that_lasts_is_reported() {
    let mut schedule = NoticeSchedule::default();
    let options = NoticeOptions::default();
    let full = load(ServingState::Ready, 8);
    let free = load(ServingState::Ready, 7);
    schedule.poll(Millis(0), &full, &options);

    let reported = (50..1000).step_by(POLL_MS as usize).find(|now| {
        let receivers = schedule.poll(Millis(*now), &free, &options);
        receivers.is_some_and(|r| r.condition == Condition::Usual)
    });

    assert_eq!(reported, Some(350));
}

/// Guards against many messages between regions about one server whose state changes often, and
/// against a last change that other regions never learn.
#[test]
fn changes_to_other_regions_are_limited() {
    let mut schedule = NoticeSchedule::default();
    let flapping = |now: u64| match now % 200 < 100 && now < 3900 {
        true => load(ServingState::Demoted, 0),
        false => load(ServingState::Ready, 0),
    };

    let (_, _, far) = count(&mut schedule, 0..4000, flapping);
    assert!((2..=8).contains(&far), "{far} notices in 4 s");

    let (_, _, last) = count(&mut schedule, 4000..6000, flapping);
    assert!(last <= 1, "{last} notices without a change");
    let (_, _, none) = count(&mut schedule, 6000..8000, flapping);
    assert_eq!(none, 0);
}

/// Guards against notices to nodes that stopped sending long ago, and against a list of senders
/// that grows without bound.
#[test]
fn senders_are_forgotten() {
    let mut senders = RecentSenders::default();
    let node = |n: u64| NodeName::try_new(&format!("n{n}")).unwrap();
    for n in 0..1000 {
        senders.record(Millis(n), &node(n));
    }
    senders.record(Millis(1000), &node(990));

    let all = senders.list(Millis(1000), Duration::from_secs(10));
    let recent = senders.list(Millis(1000), Duration::from_millis(3));

    assert_eq!(all.len(), 256);
    assert_eq!(recent, [node(990), node(999), node(998), node(997)]);
}
