//! Simulates load at one gate and checks what callers get.

use std::time::Duration;

use shallothill_core::class::Class;
use shallothill_core::time::Millis;
use shallothill_policy::admit::{
    Admission, Gate, GateOptions, GateRequest, QueueDecision, Refusal, RequestKind, SlotOutcome,
    Ticket,
};

const SLOTS: u16 = 7;
const WORK_MS: u64 = 600;
const OBJECTIVE_MS: u64 = 2000;
const DEADLINE_MS: u64 = 6000;
const STEP_MS: u64 = 10;

/// Results of the requests of one rank.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    sent: usize,
    in_time: usize,
    late: usize,
}

impl Tally {
    fn share_in_time(&self) -> f64 {
        self.in_time as f64 / self.sent as f64
    }

    fn share_served(&self) -> f64 {
        (self.in_time + self.late) as f64 / self.sent as f64
    }
}

#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: u64,
    rank: u8,
}

/// Of three requests two have rank 1 and one has rank 2; `load` is relative to the capacity.
fn arrivals(load: f64, for_ms: u64) -> Vec<Arrival> {
    let per_ms = load * f64::from(SLOTS) / WORK_MS as f64;
    let number = (per_ms * for_ms as f64) as u64;
    let of = |i: u64| Arrival {
        at: (i as f64 / per_ms) as u64,
        rank: if i.is_multiple_of(3) { 2 } else { 1 },
    };
    (0..number).map(of).collect()
}

struct Simulation {
    gate: Gate,
    waiting: Vec<(Ticket, Arrival)>,
    running: Vec<(Ticket, Arrival, u64)>,
    tallies: [Tally; 2],
}

impl Simulation {
    fn new(starts_per_oldest: u32) -> Self {
        let options = GateOptions {
            slots: SLOTS,
            queue_capacity: 30,
            expected_latency: Duration::from_millis(WORK_MS),
            starts_per_oldest,
            ..GateOptions::default()
        };
        Self {
            gate: Gate::new(options, false),
            waiting: Vec::new(),
            running: Vec::new(),
            tallies: Default::default(),
        }
    }

    fn tally(&mut self, rank: u8) -> &mut Tally {
        &mut self.tallies[usize::from(rank) - 1]
    }

    fn arrive(&mut self, now: u64, arrival: Arrival) {
        self.tally(arrival.rank).sent += 1;
        let req = GateRequest {
            kind: RequestKind(u64::from(arrival.rank)),
            class: Class::Shop,
            deadline: Millis(now + DEADLINE_MS),
            reply_by: None,
            objective: Some(Millis(now + OBJECTIVE_MS)),
            rank: arrival.rank,
            spent: None,
            caller: None,
            trial: false,
        };
        match self.gate.admit(Millis(now), req) {
            Admission::Run(t) => self.running.push((t, arrival, now + WORK_MS)),
            Admission::Queued(t) => self.waiting.push((t, arrival)),
            Admission::Refused { .. } => {}
        }
    }

    fn step(&mut self, now: u64) {
        let ended: Vec<_> = self.running.extract_if(.., |r| r.2 <= now).collect();
        for (ticket, arrival, _) in ended {
            let work = Duration::from_millis(WORK_MS);
            self.gate
                .finish(Millis(now), ticket, SlotOutcome::Served(work));
            let in_time = now - arrival.at <= OBJECTIVE_MS + STEP_MS;
            let tally = self.tally(arrival.rank);
            tally.in_time += usize::from(in_time);
            tally.late += usize::from(!in_time);
        }
        while let Some(decision) = self.gate.poll(Millis(now)) {
            let (QueueDecision::Run(ticket) | QueueDecision::Refused(ticket, _)) = decision;
            let at = self.waiting.iter().position(|w| w.0 == ticket).unwrap();
            let (ticket, arrival) = self.waiting.swap_remove(at);
            if matches!(decision, QueueDecision::Run(_)) {
                self.running.push((ticket, arrival, now + WORK_MS));
            }
        }
    }
}

fn simulate(load: f64, starts_per_oldest: u32) -> [Tally; 2] {
    let mut simulation = Simulation::new(starts_per_oldest);
    let mut arrivals = arrivals(load, 20_000).into_iter().peekable();
    for now in (0..40_000).step_by(STEP_MS as usize) {
        simulation.step(now);
        while let Some(arrival) = arrivals.next_if(|a| a.at <= now) {
            simulation.arrive(now, arrival);
        }
        simulation.step(now);
    }
    simulation.tallies
}

fn in_time(tallies: &[Tally; 2]) -> usize {
    tallies.iter().map(|t| t.in_time).sum()
}

/// Guards against an overload in which every request waits until it is late, although most could be
/// answered in time.
#[test]
fn most_requests_are_answered_in_time_in_an_overload() {
    let arrival_order = simulate(1.4, 1);
    let urgency = simulate(1.4, GateOptions::default().starts_per_oldest);

    assert!(
        in_time(&urgency) >= 2 * in_time(&arrival_order),
        "{urgency:?}, in the order of arrival {arrival_order:?}"
    );
}

/// Guards against requests that are served less often than less urgent ones of the same server, and
/// against starving the less urgent ones.
#[test]
fn rank_decides_in_an_overload_without_starvation() {
    let [first, second] = simulate(1.4, GateOptions::default().starts_per_oldest);

    assert!(first.share_in_time() > second.share_in_time() + 0.1);
    let all = (first.share_served() + second.share_served()) / 2.0;
    assert!(second.share_served() > all / 4.0, "{first:?} {second:?}");
}

/// Guards against an order that delays requests while there is capacity for all.
#[test]
fn no_request_is_late_below_capacity() {
    for tally in simulate(0.9, GateOptions::default().starts_per_oldest) {
        assert_eq!(tally.in_time, tally.sent, "{tally:?}");
    }
}

/// Guards against requests that keep a place in the queue, and their callers waiting, although they
/// can no longer be answered before their deadline.
#[test]
fn an_expired_request_is_refused_while_it_waits() {
    let options = GateOptions {
        slots: 1,
        queue_capacity: 10,
        expected_latency: Duration::from_millis(WORK_MS),
        ..GateOptions::default()
    };
    let mut gate = Gate::new(options, false);
    let request = |deadline| GateRequest {
        kind: RequestKind(0),
        class: Class::Shop,
        deadline: Millis(deadline),
        reply_by: None,
        objective: None,
        rank: 0,
        spent: None,
        caller: None,
        trial: false,
    };
    gate.admit(Millis(0), request(DEADLINE_MS));
    let Admission::Queued(waiting) = gate.admit(Millis(0), request(3 * WORK_MS)) else {
        panic!("the request does not wait");
    };

    let before = gate.poll(Millis(WORK_MS));
    let after = gate.poll(Millis(2 * WORK_MS + 1));

    assert_eq!(before, None);
    assert_eq!(
        after,
        Some(QueueDecision::Refused(waiting, Refusal::Deadline))
    );
}
