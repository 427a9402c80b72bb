//! Seeded schedules of faults, after which all invariants must hold, and the same schedules with
//! single rules switched off, in which the checks must find it.

mod bus;

use bus::schedule::{SEEDS, run_schedule};
use shallothill_replica::ProtocolFaults;

fn assert_holds(n: u32, with_members: bool) {
    let mut accepted = 0;
    for seed in SEEDS {
        let bus = run_schedule(seed, n, with_members, ProtocolFaults::default());
        let rules = &bus.violations;
        assert!(rules.is_empty(), "seed {seed}, {n} members: {rules:?}");
        accepted += bus.accepted.len();
    }
    println!("{n} members, members change: {with_members}: {accepted} accepted");
    assert!(
        accepted > 5000,
        "the faults leave too little to check: {accepted}"
    );
}

/// Guards against lost or diverging entries in a group of three.
#[test]
fn holds_accepted_entries_in_three() {
    assert_holds(3, false);
}

/// Guards against lost or diverging entries in a group of five.
#[test]
fn holds_accepted_entries_in_five() {
    assert_holds(5, false);
}

/// Guards against entries lost by changes of the members amid other faults.
#[test]
fn holds_accepted_entries_while_members_change() {
    assert_holds(3, true);
}

fn assert_found(broken: ProtocolFaults, rule: &str) {
    let found = SEEDS.iter().any(|seed| {
        let bus = run_schedule(*seed, 3, false, broken);
        bus.violations.iter().any(|r| r.contains(rule))
    });
    assert!(found, "no schedule shows that {broken:?} breaks a rule");
}

/// Guards against schedules that would not find acknowledgements before the sync.
#[test]
fn schedules_find_acknowledgements_before_the_sync() {
    let broken = ProtocolFaults {
        ack_before_sync: true,
        ..ProtocolFaults::default()
    };
    assert_found(broken, "lost accepted request");
}

/// Guards against schedules that would not find two values at one position.
#[test]
fn schedules_find_votes_for_incomplete_logs() {
    let broken = ProtocolFaults {
        vote_for_any_log: true,
        ..ProtocolFaults::default()
    };
    assert_found(broken, "two values");
}

/// Guards against schedules that would not find a replica that counts with a lost disk.
#[test]
fn schedules_find_votes_after_a_lost_disk() {
    let broken = ProtocolFaults {
        vote_after_loss: true,
        ..ProtocolFaults::default()
    };
    assert_found(broken, "counts as whole without accepted entries");
    assert_found(broken, "lost accepted request");
}

/// Guards against schedules that would not find a falling commit position.
#[test]
fn schedules_find_falling_commit_positions() {
    let broken = ProtocolFaults {
        commit_may_regress: true,
        ..ProtocolFaults::default()
    };
    assert_found(broken, "the commit position fell");
}
