//! Calls that backend servers make while they run a request.

mod support;

use std::time::Duration;

use shallothill_core::class::Class;
use shallothill_core::time::Millis;
use shallothill_policy::admit::{
    Admission, Gate, GateOptions, GateRequest, QueueDecision, Refusal, RequestKind, SlotOutcome,
};
use shallothill_policy::calls::RunningRequests;
use shallothill_policy::pick::EndpointKey;
use shallothill_policy::retry::{Attempts, NextStep, RefusedBy, RetryBudget, RetryOptions};
use support::plans;
use support::plans::{Plan, Tally};

const SEEDS: [u64; 4] = [1, 2, 3, 4];

/// Guards against calls that are not recognised, and against requests of other callers that are
/// taken for calls, also after the running request has ended.
#[test]
fn a_call_is_recognised_by_the_end_of_the_running_request() {
    let mut running = RunningRequests::default();
    let first = running.insert(Millis(5_000), "first");
    running.insert(Millis(5_006), "second");

    let found = |running: &RunningRequests<_>, at| running.find(Millis(at)).copied();

    assert_eq!(found(&running, 4_999), Some("first"));
    assert_eq!(found(&running, 5_002), Some("first"));
    assert_eq!(found(&running, 5_005), Some("second"));
    assert_eq!(found(&running, 5_012), Some("second"));
    assert_eq!(found(&running, 4_990), None);
    assert_eq!(found(&running, 5_020), None);
    running.remove(first);
    assert_eq!(found(&running, 4_999), None);
}

/// Returns the time at which a request that every gate refuses is given up.
fn given_up_at(mut attempts: Attempts, usual_ms: u64) -> u64 {
    let options = RetryOptions {
        usual_latency: Duration::from_millis(usual_ms),
        ..RetryOptions::default()
    };
    let budget = RetryBudget::default();
    let mut now = Millis(0);
    for n in 1.. {
        attempts.record_start(EndpointKey(n), &options, &budget);
        now = now + Duration::from_millis(3);
        match attempts.on_refusal(now, RefusedBy::OwnRegion, &options) {
            NextStep::RetryAfter(pause) => {
                now = now + pause;
                attempts.forget_refusals();
                assert!(!attempts.used_endpoints().contains(&EndpointKey(n)));
            }
            NextStep::Retry => {}
            NextStep::Wait | NextStep::Return(_) => return now.0,
        }
    }
    unreachable!()
}

/// Guards against calls that are given up while they could still be answered, and against those that
/// wait although they can't be.
#[test]
fn a_call_is_tried_as_long_as_it_can_be_answered() {
    let new = given_up_at(Attempts::new(true, Millis(2_000)), 160);
    let call = given_up_at(Attempts::for_call(true, Millis(2_000)), 160);

    assert!(new < 100, "{new}");
    assert!((1_700..1_840).contains(&call), "{call}");
}

fn request(rank: u8, spent: Option<u64>) -> GateRequest {
    GateRequest {
        kind: RequestKind(0),
        class: Class::Editor,
        deadline: Millis(60_000),
        reply_by: None,
        objective: None,
        rank,
        spent: spent.map(Duration::from_millis),
        caller: None,
        trial: false,
    }
}

/// Guards against calls that wait behind new requests of their rank or lose their place to them, and
/// against more urgent requests that calls keep out of the queue.
#[test]
fn calls_precede_new_requests_of_their_rank() {
    let options = GateOptions {
        slots: 1,
        queue_capacity: 4,
        expected_latency: Duration::from_millis(10),
        starts_per_oldest: 100,
        ..GateOptions::default()
    };
    let mut gate = Gate::new(options, false);
    let now = Millis(0);
    let Admission::Run(running) = gate.admit(now, request(1, None)) else {
        panic!("no free slot");
    };
    let queue = |gate: &mut Gate, req| match gate.admit(now, req) {
        Admission::Queued(ticket) => ticket,
        other => panic!("{other:?}"),
    };
    let new = queue(&mut gate, request(1, None));
    let urgent = queue(&mut gate, request(0, None));
    let call = queue(&mut gate, request(1, Some(600)));

    let second_call = queue(&mut gate, request(1, Some(100)));
    let shed = gate.poll(now);
    let third = queue(&mut gate, request(0, Some(100)));
    let shed_for_third = gate.poll(now);
    let refused = gate.admit(now, request(1, None));
    let last = queue(&mut gate, request(0, None));
    let shed_for_last = gate.poll(now);

    assert_eq!(shed, Some(QueueDecision::Refused(new, Refusal::Shed)));
    assert_eq!(
        shed_for_third,
        Some(QueueDecision::Refused(urgent, Refusal::Shed))
    );
    assert!(matches!(refused, Admission::Refused { .. }), "{refused:?}");
    assert_eq!(
        shed_for_last,
        Some(QueueDecision::Refused(second_call, Refusal::Shed))
    );
    let mut current = running;
    for expected in [third, last, call] {
        gate.finish(now, current, SlotOutcome::Failed);
        assert_eq!(gate.poll(now), Some(QueueDecision::Run(expected)));
        current = expected;
    }
}

/// Guards against registrations that fail after their own work is done, because the call that they
/// make finds no capacity, and against bookings that pay for them.
#[test]
fn requests_rarely_fail_for_a_call_when_capacity_is_short() {
    let plan = plans::bookings(1.1);
    let unrecognised = Plan {
        recognised: false,
        ..plan.clone()
    };
    let before = support::total(&unrecognised, &SEEDS);
    let after = support::total(&plan, &SEEDS);
    println!("before {before:?}\nafter {after:?}");

    let failed = |t: &[Tally]| t[2].failed_after_work as f64 / t[2].sent as f64;
    assert!(failed(&before) > 0.02, "{before:?}");
    assert!(failed(&after) < failed(&before) / 5.0, "{after:?}");
    assert!(after[0].share_served() > before[0].share_served() - 0.01);
}
