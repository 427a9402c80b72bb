//! Entries that admit fewer requests while calls of their kind are refused.

mod support;

use std::time::Duration;

use shallothill_core::time::Millis;
use shallothill_policy::backpressure::AdmissionController;
use support::plans;
use support::plans::{Plan, Tally};

const SEEDS: [u64; 2] = [1, 2];
const ENTRIES: usize = 73;

/// Guards against requests that take slots of one service and then fail, because the service that
/// they call has no capacity for all of them, and against a limit that costs more than it saves.
#[test]
fn fewer_requests_fail_after_work_when_calls_exceed_capacity() {
    // Twice the rates: the calls and the more urgent bookings together exceed the capacity.
    let plan = plans::bookings(2.0);
    let limited = Plan {
        controlling_entries: ENTRIES,
        ..plan.clone()
    };

    let before = support::total(&plan, &SEEDS);
    let after = support::total(&limited, &SEEDS);
    println!("before {before:?}\nafter {after:?}");

    let failed = |t: &[Tally]| t[2].failed_after_work as f64 / t[2].sent as f64;
    assert!(failed(&before) > 0.1, "{before:?}");
    assert!(failed(&after) < failed(&before) / 2.0, "{after:?}");
    assert!(
        after[2].share_served() > before[2].share_served() * 0.9,
        "{after:?}"
    );
}

/// Guards against requests that are refused at once where calls find capacity.
#[test]
fn nothing_is_held_back_below_capacity() {
    let plan = Plan {
        controlling_entries: ENTRIES,
        ..plans::bookings(0.8)
    };

    let tallies = support::total(&plan, &SEEDS);

    assert!(tallies.iter().all(|t| t.held_back == 0), "{tallies:?}");
}

/// Guards against a share that stays low after the shortage, that one burst of failures takes to
/// nothing, and against urgent requests that are refused before others.
#[test]
fn the_share_recovers_and_urgent_ranks_are_refused_last() {
    let mut controller = AdmissionController::new(Millis(0));
    for _ in 0..2 {
        controller.record_shortage(Millis(100));
    }
    let after_burst = controller.share(Millis(100));
    for i in 2..20 {
        controller.record_shortage(Millis(i * 100));
    }
    let now = Millis(2_000);
    let admitted = |rank| {
        let draws = (0..100).map(|n| f64::from(n) / 100.0);
        let admitted = draws.filter(|draw| controller.admit(now, rank, *draw, 0.5).is_ok());
        admitted.count()
    };
    let later = |rank| controller.admit(now, rank, 0.99, 0.5).unwrap_err();

    assert!((after_burst - 0.64).abs() < 0.01, "{after_burst}");
    assert!(controller.share(now) >= 0.1);
    assert!(admitted(0) > admitted(1) && admitted(1) > admitted(3));
    assert!(later(0) < later(2) && later(2) < Duration::from_secs(10));
    assert!(controller.is_idle(Millis(33_000)));
}
