//! Load beyond the capacity of a service: ranks, shares of callers, and when refused requests return.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use shallothill_core::class::Class;
use shallothill_core::time::Millis;
use shallothill_policy::admit::{
    Admission, CallerKey, Gate, GateOptions, GateRequest, QueueDecision, Refusal, RequestKind,
    SlotOutcome, Ticket,
};
use support::plans;
use support::plans::Tally;

const SEEDS: [u64; 2] = [1, 2];

// The service `desk` of deployment B works at its capacity at 3.44 times the rates.
const BELOW_CAPACITY: f64 = 3.0;
const ABOVE_CAPACITY: [f64; 3] = [3.6, 4.5, 7.0];

/// Guards against the more urgent kind of a service that is served less often than the less urgent
/// one, and against callers that wait for long only to be refused.
#[test]
fn the_more_urgent_kind_is_served_first_and_the_other_refused_soon() {
    for load in ABOVE_CAPACITY {
        let [urgent, other] = support::total(&plans::desk(load), &SEEDS)[..] else {
            panic!("two kinds");
        };
        println!("{load}: {urgent:?} {other:?}");

        assert!(urgent.share_served() > other.share_served() + 0.05);
        let refused = (other.sent - other.in_time - other.late) as u64;
        let wait_ms = other.refused_after_ms / refused.max(1);
        assert!(wait_ms < 1_000, "{load}: {wait_ms}");
    }
}

/// Guards against requests that are refused or late while there is capacity for all.
#[test]
fn everything_is_served_in_time_below_capacity() {
    for tally in support::total(&plans::desk(BELOW_CAPACITY), &SEEDS) {
        let Tally { sent, in_time, .. } = tally;
        assert_eq!(sent, in_time, "{tally:?}");
    }
}

fn gate() -> Gate {
    let options = GateOptions {
        slots: 1,
        queue_capacity: 10,
        expected_latency: Duration::from_millis(100),
        starts_per_oldest: 100,
        ..GateOptions::default()
    };
    Gate::new(options, false)
}

fn request(rank: u8, caller: Option<u64>) -> GateRequest {
    GateRequest {
        kind: RequestKind(0),
        class: Class::Editor,
        deadline: Millis(60_000),
        reply_by: None,
        objective: Some(Millis(500)),
        rank,
        spent: None,
        caller: caller.map(CallerKey),
        trial: false,
    }
}

fn queue(gate: &mut Gate, req: GateRequest) -> Ticket {
    match gate.admit(Millis(0), req) {
        Admission::Run(ticket) | Admission::Queued(ticket) => ticket,
        refused => panic!("{refused:?}"),
    }
}

/// Ends the running request and returns the one that starts then.
fn start_next(gate: &mut Gate, running: Ticket) -> Ticket {
    gate.finish(Millis(0), running, SlotOutcome::Failed);
    match gate.poll(Millis(0)) {
        Some(QueueDecision::Run(ticket)) => ticket,
        other => panic!("{other:?}"),
    }
}

/// Guards against a caller that fills the queue and keeps out or delays the others of its rank.
#[test]
fn requests_beyond_a_callers_share_come_after_those_of_others() {
    let mut gate = gate();
    let running = queue(&mut gate, request(0, None));
    let large: Vec<_> = (0..9)
        .map(|_| queue(&mut gate, request(0, Some(1))))
        .collect();

    let small = queue(&mut gate, request(0, Some(2)));
    let shed = gate.poll(Millis(0));
    let unnamed = gate.admit(Millis(0), request(0, None));
    let shed_for_unnamed = gate.poll(Millis(0));
    let mut started = vec![running];
    for _ in 0..6 {
        started.push(start_next(&mut gate, started[started.len() - 1]));
    }

    assert_eq!(shed, Some(QueueDecision::Refused(large[8], Refusal::Shed)));
    assert!(matches!(unnamed, Admission::Queued(_)), "{unnamed:?}");
    assert_eq!(
        shed_for_unnamed,
        Some(QueueDecision::Refused(large[7], Refusal::Shed))
    );
    let before_small = started.iter().position(|t| *t == small);
    assert!(before_small.is_some_and(|n| n <= 6), "{started:?}");
}

/// Guards against an order by callers that changes anything for one caller, or where callers are not
/// identified.
#[test]
fn the_order_of_arrival_holds_without_other_callers() {
    for caller in [None, Some(1)] {
        let mut gate = gate();
        let mut running = queue(&mut gate, request(0, caller));
        let waiting: Vec<_> = (0..9)
            .map(|_| queue(&mut gate, request(0, caller)))
            .collect();

        for expected in waiting {
            running = start_next(&mut gate, running);
            assert_eq!(running, expected);
        }
    }
}

/// Guards against a less urgent request that waits behind more urgent ones until it is late, and
/// against refusing it where nothing more urgent waits.
#[test]
fn a_request_that_would_be_late_behind_more_urgent_ones_is_refused_at_once() {
    let mut busy = gate();
    let mut alone = gate();
    for _ in 0..6 {
        queue(&mut busy, request(0, None));
        queue(&mut alone, request(1, None));
    }

    let refused = busy.admit(Millis(0), request(1, None));
    let queued = alone.admit(Millis(0), request(1, None));

    let overload = |a: &Admission| matches!(a, Admission::Refused { reason, .. } if *reason == Refusal::Overload);
    assert!(overload(&refused), "{refused:?}");
    assert!(matches!(queued, Admission::Queued(_)), "{queued:?}");
}

/// Guards against requests that are refused together and return together, and against less urgent
/// ones that return before the more urgent ones have had their turn.
#[test]
fn refused_requests_return_spread_and_by_rank() {
    let mut gate = gate();
    for _ in 0..10 {
        let _ = gate.admit(Millis(0), request(0, None));
    }
    let gate = &gate;
    let times = |rank| (0..100).map(move |ms| gate.retry_after(Millis(ms), rank));
    let mean = |rank| times(rank).sum::<Duration>() / 100;

    let distinct: BTreeSet<_> = times(0).collect();

    assert!(distinct.len() > 50, "{distinct:?}");
    assert!(mean(1) > mean(0).mul_f64(1.1) && mean(2) > mean(1));
    assert!(times(0).all(|t| t >= Duration::from_millis(700)));
}
