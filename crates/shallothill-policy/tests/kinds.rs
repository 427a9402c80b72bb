//! Simulates requests of several kinds at one gate and checks what callers get.

use std::time::Duration;

use shallothill_core::class::Class;
use shallothill_core::time::Millis;
use shallothill_policy::admit::{
    Admission, Gate, GateOptions, GateRequest, QueueDecision, Refusal, RequestKind, SlotOutcome,
    Ticket,
};

const SLOTS: u16 = 13;
const BOOKING: RequestKind = RequestKind(1);
const BOOKING_WORK_MS: u64 = 1400;
const LOOKUP: RequestKind = RequestKind(2);
const LOOKUP_WORK_MS: u64 = 100;
const LOOKUP_DEADLINE_MS: u64 = 1000;

fn gate() -> Gate {
    let options = GateOptions {
        slots: SLOTS,
        queue_capacity: 10,
        expected_latency: Duration::from_millis(400),
        cold_start_requests: 0,
        ..GateOptions::default()
    };
    Gate::new(options, false)
}

fn booking(now: u64) -> GateRequest {
    GateRequest {
        kind: BOOKING,
        class: Class::Shop,
        deadline: Millis(now + 12_000),
        reply_by: None,
        objective: Some(Millis(now + 4000)),
        rank: 1,
        spent: None,
        caller: None,
        trial: false,
    }
}

fn lookup(now: u64) -> GateRequest {
    GateRequest {
        kind: LOOKUP,
        deadline: Millis(now + LOOKUP_DEADLINE_MS),
        reply_by: None,
        objective: Some(Millis(now + LOOKUP_DEADLINE_MS)),
        rank: 0,
        ..booking(now)
    }
}

/// Runs `n` requests one after the other, each of which takes `work_ms`.
fn serve_requests(gate: &mut Gate, n: usize, req: fn(u64) -> GateRequest, work_ms: u64) {
    for _ in 0..n {
        if let Admission::Run(ticket) = gate.admit(Millis(0), req(0)) {
            let work = Duration::from_millis(work_ms);
            gate.finish(Millis(0), ticket, SlotOutcome::Served(work));
        }
    }
}

/// Guards against short requests that are refused at an idle server because others take long.
#[test]
fn long_requests_of_another_kind_refuse_no_short_one() {
    let mut gate = gate();
    serve_requests(&mut gate, 60, booking, BOOKING_WORK_MS);

    let without_estimate = gate.admit(Millis(0), lookup(0));
    serve_requests(&mut gate, 60, booking, BOOKING_WORK_MS);
    let with_estimate = gate.admit(Millis(0), lookup(0));

    assert!(
        matches!(without_estimate, Admission::Run(_)),
        "{without_estimate:?}"
    );
    assert!(
        matches!(with_estimate, Admission::Run(_)),
        "{with_estimate:?}"
    );
}

/// Guards against urgent requests that are refused because of the queueing delay of requests that
/// start after them.
#[test]
fn an_urgent_request_does_not_count_the_whole_queue_as_its_wait() {
    let mut gate = gate();
    serve_requests(&mut gate, 60, booking, BOOKING_WORK_MS);
    serve_requests(&mut gate, 20, lookup, LOOKUP_WORK_MS);
    for _ in 0..SLOTS + 9 {
        gate.admit(Millis(0), booking(0));
    }

    let urgent = gate.admit(Millis(0), lookup(0));

    assert!(matches!(urgent, Admission::Queued(_)), "{urgent:?}");
}

/// Guards against an estimate that refuses all requests of its kind and therefore never changes.
#[test]
fn a_kind_that_is_refused_is_tried_again() {
    let mut gate = gate();
    serve_requests(&mut gate, 1, lookup, 2 * LOOKUP_DEADLINE_MS);

    let refused = gate.admit(Millis(1000), lookup(1000));
    let trial = gate.admit(Millis(2000), lookup(2000));
    let second = gate.admit(Millis(2000), lookup(2000));
    let Admission::Run(ticket) = trial else {
        panic!("{trial:?}");
    };
    gate.finish(
        Millis(2001),
        ticket,
        SlotOutcome::Served(Duration::from_millis(1)),
    );
    for at in 0..20 {
        let at = 4100 + at * 2000;
        if let Admission::Run(ticket) = gate.admit(Millis(at), lookup(at)) {
            let work = Duration::from_millis(LOOKUP_WORK_MS);
            gate.finish(Millis(at), ticket, SlotOutcome::Served(work));
        }
    }
    let recovered = gate.admit(Millis(44_000), lookup(44_000));
    let recovered_again = gate.admit(Millis(44_000), lookup(44_000));

    let refusal = |a: &Admission| match a {
        Admission::Refused { reason, .. } => Some(*reason),
        _ => None,
    };
    assert_eq!(refusal(&refused), Some(Refusal::Deadline));
    assert_eq!(refusal(&second), Some(Refusal::Deadline));
    assert!(matches!(recovered, Admission::Run(_)), "{recovered:?}");
    assert!(
        matches!(recovered_again, Admission::Run(_)),
        "{recovered_again:?}"
    );
}

/// Guards against endless trials of a kind that never ends in time.
#[test]
fn a_kind_that_never_ends_in_time_is_refused_at_once() {
    let mut gate = gate();
    let mut admitted = 0;

    for now in (0..20_000).step_by(100) {
        if let Admission::Run(ticket) = gate.admit(Millis(now), lookup(now)) {
            admitted += 1;
            let age = Duration::from_millis(LOOKUP_DEADLINE_MS);
            gate.finish(Millis(now), ticket, SlotOutcome::Abandoned(age));
        }
    }

    assert!((5..=11).contains(&admitted), "{admitted} of 200 were tried");
}

/// Guards against an unbounded number of kinds in memory, and against evicting one that is in use.
#[test]
fn kinds_in_use_are_not_evicted() {
    let mut gate = gate();
    for now in 0..5000 {
        let other = GateRequest {
            kind: RequestKind(100 + now),
            ..lookup(now)
        };
        for req in [other, booking(now)] {
            if let Admission::Run(ticket) = gate.admit(Millis(now), req) {
                let work = Duration::from_millis(BOOKING_WORK_MS);
                gate.finish(Millis(now), ticket, SlotOutcome::Served(work));
            }
        }
    }
    let late = GateRequest {
        deadline: Millis(5000 + BOOKING_WORK_MS / 2),
        ..booking(5000)
    };

    let refused = gate.admit(Millis(5000), late);

    assert!(matches!(refused, Admission::Refused { .. }), "{refused:?}");
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    sent: usize,
    in_time: usize,
}

/// Simulates bookings at `load` times the capacity and 4 lookups per second for 30 s; returns the
/// bookings and lookups that were answered before their deadline.
fn simulate(load: f64) -> [Tally; 2] {
    let mut gate = gate();
    let mut tallies = [Tally::default(); 2];
    let mut waiting: Vec<(Ticket, u64, RequestKind)> = Vec::new();
    let mut running: Vec<(Ticket, u64, RequestKind, u64)> = Vec::new();
    let work = |kind| match kind {
        LOOKUP => LOOKUP_WORK_MS,
        _ => BOOKING_WORK_MS,
    };
    let every = (BOOKING_WORK_MS as f64 / f64::from(SLOTS) / load) as u64;
    for now in 0..45_000 {
        for (ticket, arrived, kind, end) in running.extract_if(.., |r| r.3 <= now) {
            let took = Duration::from_millis(work(kind));
            gate.finish(Millis(now), ticket, SlotOutcome::Served(took));
            let allowed = if kind == LOOKUP { 1000 } else { 12_000 };
            let index = usize::from(kind == LOOKUP);
            tallies[index].in_time += usize::from(end - arrived <= allowed);
        }
        let arrivals = [
            (now % every == 0).then(|| booking(now)),
            (now % 250 == 0).then(|| lookup(now)),
        ];
        for req in arrivals.into_iter().flatten().filter(|_| now < 30_000) {
            tallies[usize::from(req.kind == LOOKUP)].sent += 1;
            match gate.admit(Millis(now), req) {
                Admission::Run(t) => running.push((t, now, req.kind, now + work(req.kind))),
                Admission::Queued(t) => waiting.push((t, now, req.kind)),
                Admission::Refused { .. } => {}
            }
        }
        while let Some(decision) = gate.poll(Millis(now)) {
            let (QueueDecision::Run(ticket) | QueueDecision::Refused(ticket, _)) = decision;
            let at = waiting.iter().position(|w| w.0 == ticket).unwrap();
            let (ticket, arrived, kind) = waiting.swap_remove(at);
            if matches!(decision, QueueDecision::Run(_)) {
                running.push((ticket, arrived, kind, now + work(kind)));
            }
        }
    }
    tallies
}

/// Guards against an overload of long requests that starves short ones of a higher priority.
#[test]
fn short_urgent_requests_are_served_in_an_overload_of_long_ones() {
    for load in [0.8, 1.2, 2.0] {
        let [bookings, lookups] = simulate(load);

        let served = lookups.in_time as f64 / lookups.sent as f64;
        assert!(served > 0.9, "load {load}: {lookups:?}");
        let capacity = (bookings.sent as f64 / load).min(bookings.sent as f64);
        let served = bookings.in_time as f64 / capacity;
        assert!(served > 0.85, "load {load}: {bookings:?}");
    }
}
