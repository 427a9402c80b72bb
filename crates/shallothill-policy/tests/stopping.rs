//! Tests of requests at a gate whose entry node stops.

use std::time::Duration;

use shallothill_core::class::Class;
use shallothill_core::time::Millis;
use shallothill_policy::admit::{
    Admission, Gate, GateOptions, GateRequest, QueueDecision, Refusal, RequestKind, STOP_RESERVE,
    SlotOutcome, Ticket,
};

const WORK_MS: u64 = 1000;

fn request() -> GateRequest {
    GateRequest {
        kind: RequestKind(0),
        class: Class::Shop,
        deadline: Millis(60_000),
        reply_by: None,
        objective: None,
        rank: 0,
        spent: None,
        caller: None,
        trial: false,
    }
}

/// Returns a gate with one slot, whose requests take `WORK_MS`, and the tickets of the one that runs
/// and of three that wait.
fn busy_gate() -> (Gate, Vec<Ticket>) {
    let options = GateOptions {
        slots: 1,
        expected_latency: Duration::from_millis(WORK_MS),
        ..GateOptions::default()
    };
    let mut gate = Gate::new(options, false);
    let tickets = (0..4).map(|_| match gate.admit(Millis(0), request()) {
        Admission::Run(ticket) | Admission::Queued(ticket) => ticket,
        refused @ Admission::Refused { .. } => panic!("{refused:?}"),
    });
    let tickets = tickets.collect();
    (gate, tickets)
}

fn poll_all(gate: &mut Gate, now: u64) -> Vec<QueueDecision> {
    std::iter::from_fn(|| gate.poll(Millis(now))).collect()
}

/// Guards against queued requests that wait on although the node that took them ends before they can
/// be answered, and against refusing those that still can be.
#[test]
fn a_queued_request_that_cannot_be_answered_before_the_stop_is_refused_at_once() {
    let (mut gate, tickets) = busy_gate();

    for ticket in &tickets {
        gate.limit_reply(Millis(0), *ticket, Millis(3 * WORK_MS + 100));
    }
    let decisions = poll_all(&mut gate, 0);

    // The first one runs, so three start before the last one.
    let refused = QueueDecision::Refused(tickets[3], Refusal::Stopping);
    assert_eq!(decisions, [refused]);
}

/// Guards against a queued request that starts late, after others took longer than expected, and is
/// still running when the node that took it ends.
#[test]
fn a_queued_request_is_refused_when_the_wait_was_longer_than_expected() {
    let (mut gate, tickets) = busy_gate();
    for ticket in &tickets {
        gate.limit_reply(Millis(0), *ticket, Millis(3 * WORK_MS + 100));
    }
    poll_all(&mut gate, 0);

    let late = 2 * WORK_MS + 200;
    gate.finish(Millis(late), tickets[0], SlotOutcome::Failed);
    let decisions = poll_all(&mut gate, late);

    let refused = |n: usize| QueueDecision::Refused(tickets[n], Refusal::Stopping);
    assert_eq!(decisions, [refused(1), refused(2)]);
}

/// Guards against a queued request that starts shortly before the node that took it ends, because
/// requests of its kind were expected to be faster when it arrived.
#[test]
fn a_queued_request_is_judged_by_the_latest_estimate() {
    let (mut gate, tickets) = busy_gate();
    for ticket in &tickets {
        gate.limit_reply(Millis(0), *ticket, Millis(5 * WORK_MS));
    }

    let slow = Duration::from_millis(3 * WORK_MS);
    gate.finish(Millis(3 * WORK_MS), tickets[0], SlotOutcome::Served(slow));
    let decisions = poll_all(&mut gate, 3 * WORK_MS);

    let refused = |n: usize| QueueDecision::Refused(tickets[n], Refusal::Stopping);
    assert_eq!(decisions, [refused(1), refused(2), refused(3)]);
}

/// Guards against a trial of an outdated estimate with a request whose node stops, and against
/// refusals of requests that can be answered in time.
#[test]
fn a_request_of_a_stopping_node_runs_only_if_it_can_be_answered() {
    let (mut gate, _) = busy_gate();
    let arriving = |reply_by| GateRequest {
        reply_by: Some(Millis(reply_by)),
        ..request()
    };
    // Long enough without requests that an estimate which refuses all of them would be tried.
    let now = 10_000;

    let too_late = gate.admit(Millis(now), arriving(now + 4 * WORK_MS + 500));
    let in_time = gate.admit(Millis(now), arriving(now + 6 * WORK_MS));

    let stopping = Refusal::Stopping;
    assert!(matches!(too_late, Admission::Refused { reason, .. } if reason == stopping));
    assert!(matches!(in_time, Admission::Queued(_)));
}

/// Guards against a gate that refuses all requests from the moment at which its own node is stopped,
/// and against one that starts requests which are cut off at the end if they take longer than usual.
#[test]
fn the_gate_of_a_stopping_node_runs_what_can_be_answered() {
    let (mut gate, tickets) = busy_gate();
    let reserve_ms = u64::from(STOP_RESERVE - 1) * WORK_MS;

    gate.stop_at(Millis(0), Millis(reserve_ms + 2 * WORK_MS + 100));
    let decisions = poll_all(&mut gate, 0);
    gate.finish(Millis(100), tickets[0], SlotOutcome::Failed);
    let next = poll_all(&mut gate, 100);
    gate.finish(Millis(200), tickets[1], SlotOutcome::Failed);
    let in_time = gate.admit(Millis(200), request());
    let too_late = gate.admit(Millis(WORK_MS + 200), request());

    // The first one runs and the second one can still follow it.
    let refused = |n: usize| QueueDecision::Refused(tickets[n], Refusal::Stopping);
    assert_eq!(decisions, [refused(2), refused(3)]);
    assert_eq!(next, [QueueDecision::Run(tickets[1])]);
    assert!(matches!(in_time, Admission::Run(_)));
    let stopping = Refusal::Stopping;
    assert!(matches!(too_late, Admission::Refused { reason, .. } if reason == stopping));
}
