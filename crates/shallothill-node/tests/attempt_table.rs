//! What a gate knows about attempts whose connection broke.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shallothill_node::peer::attempt_table::{AttemptState, AttemptTable};
use shallothill_node::peer::{AttemptId, ProcessId};

type Table = AttemptTable<u64, ()>;

fn id(number: u64) -> AttemptId {
    AttemptId {
        sender: ProcessId(7),
        number,
    }
}

/// Guards against an attempt that runs after its sender was told that it never will.
#[test]
fn an_attempt_that_was_asked_about_is_refused() {
    let mut table = Table::default();

    let asked = table.ask(id(1), true);
    let runs = table.start(id(1), ());

    assert_eq!(asked, AttemptState::NeverRuns);
    assert!(!runs);
}

/// Guards against a process that denies what an earlier process of the host has run.
#[test]
fn a_restarted_process_denies_nothing() {
    let mut table = Table::default();

    let asked = table.ask(id(1), false);

    assert_eq!(asked, AttemptState::Unknown);
}

/// Guards against replies that are kept without bound.
#[test]
fn old_replies_give_way_to_new_ones() {
    const REPLY_BYTES: usize = 64 * 1024;
    let mut table = Table::default();

    for number in 1..=50 {
        assert!(table.start(id(number), ()));
        table.finish(id(number), Some((number, REPLY_BYTES)));
    }

    assert_eq!(table.ask(id(1), true), AttemptState::Unknown);
    assert_eq!(table.ask(id(50), true), AttemptState::Ended(50));
}

/// Guards against any order of arrivals, ends and questions in which an attempt runs that was
/// reported as never running, or is reported so after it ran; also of attempts long forgotten.
#[test]
fn holds_no_attempt_runs_that_was_reported_as_not_run() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut table = Table::default();
        let mut ran = [false; 400];
        let mut denied = [false; 400];
        for step in 0..4000_usize {
            // Attempts arrive about in order, some of them late.
            let newest = (step / 10).min(399);
            let number = newest.saturating_sub(rng.random_range(0..120));
            let attempt = id(number as u64 + 1);
            match rng.random_range(0..3) {
                0 => {
                    if table.start(attempt, ()) {
                        assert!(!denied[number], "seed {seed}: {number} ran after all");
                        assert!(!ran[number], "seed {seed}: {number} ran twice");
                        ran[number] = true;
                    }
                }
                1 if ran[number] => table.finish(attempt, Some((1, 1000))),
                _ => {
                    if table.ask(attempt, true) == AttemptState::NeverRuns {
                        assert!(!ran[number], "seed {seed}: {number} was denied");
                        denied[number] = true;
                    }
                }
            }
        }
        assert!(ran.contains(&true) && denied.contains(&true));
    }
}
