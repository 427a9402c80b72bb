//! Seeded schedules of faults, after which all invariants must hold. With a single rule of the
//! protocol disabled, the same schedules must violate an invariant.

mod bus;

use bus::schedule::{SEEDS, run_schedule};
use shallothill_replica::ProtocolFaults;

fn assert_invariants_hold(n: u32, with_members: bool) {
    let mut accepted = 0;
    for seed in SEEDS {
        let bus = run_schedule(seed, n, with_members, ProtocolFaults::default());
        let violations = &bus.violations;
        assert!(
            violations.is_empty(),
            "seed {seed}, {n} members: {violations:?}"
        );
        accepted += bus.accepted.len();
    }
    println!("{n} members, members change: {with_members}: {accepted} accepted");
    assert!(
        accepted > 5000,
        "the faults leave too little to check: {accepted}"
    );
}

/// Guards against accepted entries that are lost or differ between members in a group of three.
#[test]
fn holds_accepted_entries_in_three() {
    assert_invariants_hold(3, false);
}

/// Guards against accepted entries that are lost or differ between members in a group of five.
#[test]
fn holds_accepted_entries_in_five() {
    assert_invariants_hold(5, false);
}

/// Guards against accepted entries that are lost by changes of members during other faults.
#[test]
fn holds_accepted_entries_while_members_change() {
    assert_invariants_hold(3, true);
}

fn assert_violation_found(protocol_faults: ProtocolFaults, violation: &str) {
    let found = SEEDS.iter().any(|seed| {
        let bus = run_schedule(*seed, 3, false, protocol_faults);
        bus.violations.iter().any(|r| r.contains(violation))
    });
    assert!(
        found,
        "no schedule shows that {protocol_faults:?} causes: {violation}"
    );
}

/// Guards against schedules that do not detect acknowledgements before the sync.
#[test]
fn schedules_find_acknowledgements_before_the_sync() {
    let protocol_faults = ProtocolFaults {
        ack_before_sync: true,
        ..ProtocolFaults::default()
    };
    assert_violation_found(protocol_faults, "lost accepted request");
}

/// Guards against schedules that do not detect two values at one position, which votes for
/// candidates with incomplete logs cause.
#[test]
fn schedules_find_votes_for_incomplete_logs() {
    let protocol_faults = ProtocolFaults {
        vote_for_any_log: true,
        ..ProtocolFaults::default()
    };
    assert_violation_found(protocol_faults, "two values");
}

/// Guards against schedules that do not detect a replica that votes and acknowledges after its
/// disk was lost.
#[test]
fn schedules_find_votes_after_a_lost_disk() {
    let protocol_faults = ProtocolFaults {
        vote_after_loss: true,
        ..ProtocolFaults::default()
    };
    assert_violation_found(protocol_faults, "is complete without accepted entries");
    assert_violation_found(protocol_faults, "lost accepted request");
}

/// Guards against schedules that do not detect a commit position that decreases.
#[test]
fn schedules_find_decreasing_commit_positions() {
    let protocol_faults = ProtocolFaults {
        commit_may_regress: true,
        ..ProtocolFaults::default()
    };
    assert_violation_found(protocol_faults, "the commit position decreased");
}
