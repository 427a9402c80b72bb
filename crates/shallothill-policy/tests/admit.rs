//! Tests of admission control.

use std::collections::BTreeSet;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use shallothill_core::class::Class;
use shallothill_core::health::ServingState;
use shallothill_core::time::Millis;
use shallothill_policy::admit::{
    Admission, Gate, GateOptions, GateRequest, QueueDecision, Refusal, RequestKind, SlotOutcome,
    Ticket,
};

// The low half of a seed is the number of random bytes, the high half seeds the generator.
const SEEDS: [u64; 8] = [
    0x51ed_270b_0001_0000,
    0x2545_f491_0001_0000,
    0x9e37_79b9_0001_0000,
    0x1b87_3593_0001_0000,
    0x85eb_ca6b_0001_0000,
    0xc2b2_ae35_0001_0000,
    0x27d4_eb2f_0001_0000,
    0x1656_67b1_0001_0000,
];

fn options() -> GateOptions {
    GateOptions {
        slots: 3,
        queue_capacity: 8,
        expected_latency: Duration::from_millis(10),
        ..GateOptions::default()
    }
}

fn request(class: Class, deadline: u64) -> GateRequest {
    GateRequest {
        kind: RequestKind(0),
        class,
        deadline: Millis(deadline),
        reply_by: None,
        objective: None,
        rank: 0,
        spent: None,
        caller: None,
        trial: false,
    }
}

fn poll_all(gate: &mut Gate, now: Millis, running: &mut BTreeSet<Ticket>) {
    while let Some(decision) = gate.poll(now) {
        if let QueueDecision::Run(ticket) = decision {
            assert!(running.insert(ticket), "{ticket:?} started twice");
        }
    }
}

fn random_events(u: &mut Unstructured<'_>) -> Result<()> {
    let mut gate = Gate::new(options(), u.arbitrary()?);
    let mut running = BTreeSet::new();
    let mut issued = 0;
    for step in 0..2000 {
        let now = Millis(step * 3);
        match u.int_in_range(0..=9)? {
            0..=4 => {
                let class = *u.choose(&[Class::Internal, Class::Editor, Class::Shop])?;
                let deadline = now.0 + u.int_in_range(0..=200)?;
                match gate.admit(now, request(class, deadline)) {
                    Admission::Run(t) => assert!(running.insert(t)),
                    Admission::Queued(t) => issued = issued.max(t.0),
                    Admission::Refused { .. } => {}
                }
            }
            5..=7 => {
                // Any ticket: running, waiting, finished or never issued.
                let ticket = Ticket(u.int_in_range(0..=issued + 3)?);
                let held = running.remove(&ticket);
                let before = gate.load().in_flight;
                gate.finish(now, ticket, SlotOutcome::Served(Duration::from_millis(5)));
                assert_eq!(gate.load().in_flight, before - u16::from(held));
            }
            8 => {
                gate.cancel(Ticket(u.int_in_range(0..=issued)?));
            }
            _ => gate.set_state(*u.choose(&[ServingState::Ready, ServingState::Demoted])?, 0),
        }
        poll_all(&mut gate, now, &mut running);
        issued = issued.max(running.last().map_or(0, |t| t.0));
        assert_eq!(usize::from(gate.load().in_flight), running.len());
        assert!(running.len() <= 3, "more running than slots");
        assert!(gate.load().queued <= 8, "the queue is over its bound");
    }
    Ok(())
}

/// Guards against more running requests than slots, an unbounded queue, and a late or repeated
/// completion that frees the slot of another request.
#[test]
fn holds_slots_and_queue_bounds() {
    for seed in SEEDS {
        arbtest(random_events).seed(seed).run();
    }
}

/// Guards against new work on a server that shuts down: a drain refuses arriving and waiting
/// requests immediately and lets the running ones complete.
#[test]
fn holds_no_new_work_after_drain() {
    let now = Millis(0);
    let mut gate = Gate::new(options(), false);
    let offers: Vec<_> = (0..5)
        .map(|_| gate.admit(now, request(Class::Shop, 10_000)))
        .collect();

    gate.drain();

    assert!(matches!(offers[4], Admission::Queued(_)));
    for _ in 0..2 {
        let refused = gate.poll(now);
        assert!(matches!(
            refused,
            Some(QueueDecision::Refused(_, Refusal::Draining))
        ));
    }
    let late = gate.admit(now, request(Class::Shop, 10_000));
    assert!(matches!(
        late,
        Admission::Refused {
            reason: Refusal::Draining,
            ..
        }
    ));
    assert_eq!(gate.load().in_flight, 3);
    assert_eq!(gate.state(), ServingState::Draining);
}

/// Counts the starts of callers' and internal requests while both arrive faster than they can run.
fn starts_in_overload(rounds: u64) -> (u32, u32) {
    let mut gate = Gate::new(options(), false);
    let (mut callers, mut internal) = (0, 0);
    let mut classes = std::collections::BTreeMap::new();
    let mut running = Vec::new();
    for step in 0..rounds {
        let now = Millis(step * 10);
        for class in [
            Class::Shop,
            Class::Internal,
            Class::Shop,
            Class::Shop,
            Class::Shop,
        ] {
            match gate.admit(now, request(class, now.0 + 500)) {
                Admission::Run(t) => running.push((t, class)),
                Admission::Queued(t) => {
                    classes.insert(t, class);
                }
                Admission::Refused { .. } => {}
            }
        }
        for (t, class) in running.drain(..) {
            gate.finish(now, t, SlotOutcome::Served(Duration::from_millis(10)));
            match class {
                Class::Internal => internal += 1,
                _ => callers += 1,
            }
        }
        while let Some(decision) = gate.poll(now) {
            if let QueueDecision::Run(t) = decision {
                running.push((t, classes[&t]));
            }
        }
    }
    (callers, internal)
}

/// Guards against internal work that starves in an overload, and against internal work that takes
/// more than its small share from callers.
#[test]
fn holds_share_of_internal_work() {
    let (callers, internal) = starts_in_overload(1000);
    let share = f64::from(internal) / f64::from(internal + callers);
    let expected = 1.0 / f64::from(options().starts_per_internal);
    let range = expected * 0.5..=expected * 1.1;
    assert!(range.contains(&share), "internal share {share}");
}

/// Guards against queueing requests that can't be answered before their deadline.
#[test]
fn a_deadline_that_cannot_be_met_is_refused() {
    let mut gate = Gate::new(options(), false);
    for _ in 0..6 {
        gate.admit(Millis(0), request(Class::Shop, 10_000));
    }

    let short = gate.admit(Millis(0), request(Class::Shop, 15));
    let long = gate.admit(Millis(0), request(Class::Shop, 100));

    assert!(matches!(
        short,
        Admission::Refused {
            reason: Refusal::Deadline,
            ..
        }
    ));
    assert!(matches!(long, Admission::Queued(_)));
}

/// Guards against an ejected server that runs normal requests or more trials than are due, and
/// against one that runs no trial because requests from before the ejection still hang.
#[test]
fn an_ejected_endpoint_admits_only_due_trials() {
    let mut gate = Gate::new(options(), false);
    for _ in 0..3 {
        gate.admit(Millis(0), request(Class::Shop, 10_000));
    }
    gate.set_state(ServingState::Ejected, 1);
    let trial = GateRequest {
        trial: true,
        ..request(Class::Shop, 10_000)
    };

    let normal = gate.admit(Millis(0), request(Class::Shop, 10_000));
    let first = gate.admit(Millis(0), trial);
    let second = gate.admit(Millis(0), trial);

    assert!(matches!(normal, Admission::Refused { .. }));
    assert!(matches!(first, Admission::Run(_)));
    assert!(matches!(second, Admission::Refused { .. }));
}

/// Guards against a cold server that runs all its slots immediately, or never.
#[test]
fn slots_of_a_cold_endpoint_grow_with_served_requests() {
    let mut gate = Gate::new(
        GateOptions {
            cold_start_requests: 30,
            ..options()
        },
        true,
    );
    let mut slots = vec![gate.slots()];
    for _ in 0..30 {
        if let Admission::Run(t) = gate.admit(Millis(0), request(Class::Shop, 10_000)) {
            gate.finish(Millis(0), t, SlotOutcome::Served(Duration::from_millis(1)));
        }
        slots.push(gate.slots());
    }
    assert_eq!((slots[0], slots[20], slots[30]), (1, 2, 3));
    assert_eq!(gate.state(), ServingState::Ready);
}

/// Simulates 7 requests/s for 6 s at a server with 7 slots that has just started and needs 1.2 s
/// per request in the first 3 s and 0.6 s later; returns how many were served within 2 s.
fn served_after_a_restart(cold_start_requests: u32) -> usize {
    let mut gate = Gate::new(
        GateOptions {
            slots: 7,
            queue_capacity: 10,
            expected_latency: Duration::from_millis(400),
            cold_start_requests,
            ..GateOptions::default()
        },
        true,
    );
    let (mut running, mut waiting) = (Vec::new(), Vec::new());
    let (mut served, mut arrivals) = (0, 0);
    for now in (0..12_000).step_by(10) {
        let ended: Vec<(Ticket, u64, u64)> = running
            .extract_if(.., |r: &mut (_, _, u64)| r.2 <= now)
            .collect();
        for (ticket, arrived, at) in ended {
            gate.finish(
                Millis(now),
                ticket,
                SlotOutcome::Served(Duration::from_millis(at - arrived)),
            );
            served += usize::from(at - arrived <= 2000);
        }
        let takes = if now < 3000 { 1200 } else { 600 };
        if now < 6000 && now * 7 / 1000 >= arrivals {
            arrivals += 1;
            match gate.admit(Millis(now), request(Class::Shop, now + 6000)) {
                Admission::Run(ticket) => running.push((ticket, now, now + takes)),
                Admission::Queued(ticket) => waiting.push((ticket, now)),
                Admission::Refused { .. } => {}
            }
        }
        while let Some(decision) = gate.poll(Millis(now)) {
            if let QueueDecision::Run(ticket) = decision {
                let at = waiting.iter().position(|w| w.0 == ticket).unwrap();
                let (ticket, arrived) = waiting.swap_remove(at);
                running.push((ticket, arrived, now + takes));
            }
        }
    }
    served
}

/// Guards against a ramp that lowers the throughput of servers that are merely slower after a
/// start, when all of them have just restarted and callers return.
#[test]
fn a_cold_endpoint_without_a_ramp_serves_at_once() {
    let (ramp, without_ramp) = (served_after_a_restart(5), served_after_a_restart(0));

    assert!(without_ramp >= 40, "{without_ramp} of 42");
    assert!(ramp < 30, "{ramp} of 42 with a ramp");
}

/// Guards against more connections than an endpoint accepts.
#[test]
fn holds_connection_bound() {
    let mut gate = Gate::new(
        GateOptions {
            max_connections: 2,
            ..options()
        },
        false,
    );
    let opened: Vec<bool> = (0..3).map(|_| gate.open_connection()).collect();
    gate.close_connection();
    assert_eq!(opened, [true, true, false]);
    assert!(gate.open_connection());
}
