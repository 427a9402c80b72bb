//! Tests of failure detection and of the return from an ejection.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shallothill_core::config::Disposition;
use shallothill_core::health::ServingState;
use shallothill_core::ids::{EndpointId, EndpointName, KeeperId, NodeName, Region, ServiceName};
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::Millis;
use shallothill_directory::{LeaseOptions, LeaseTable, ServiceSummary};
use shallothill_policy::admit::Ticket;
use shallothill_policy::detect::{DetectOptions, Detector, Evidence, Verdict};
use shallothill_policy::eject::{EjectOptions, Ejector, EndpointHealth};

const MEDIAN: Duration = Duration::from_millis(40);
const NO_OBJECTIVE: Duration = Duration::ZERO;

fn service() -> ServiceName {
    ServiceName::try_new("courier").unwrap()
}

fn detector(disposition: Disposition) -> Detector {
    Detector::new(DetectOptions::new(MEDIAN, disposition))
}

fn summary(p50: Duration, oldest: Duration, errors: u64) -> ServiceSummary {
    ServiceSummary {
        service: service(),
        endpoints: 12,
        p50_us: p50.as_micros() as u64,
        oldest_us: oldest.as_micros() as u64,
        completed: 1000,
        errors,
    }
}

/// Runs requests one after the other, with a summary every second; returns the time at which the
/// verdict is first unhealthy.
fn unhealthy_ms(
    d: &mut Detector,
    summary: &ServiceSummary,
    mut next: impl FnMut(u64) -> Evidence,
) -> Option<u64> {
    unhealthy_ms_with_objectives(d, summary, |n| (NO_OBJECTIVE, next(n)))
}

/// Does the same with an objective for each request.
fn unhealthy_ms_with_objectives(
    d: &mut Detector,
    summary: &ServiceSummary,
    mut next: impl FnMut(u64) -> (Duration, Evidence),
) -> Option<u64> {
    let mut now = Millis(1000);
    for n in 0..2000 {
        let (objective, evidence) = next(n);
        let took = match evidence {
            Evidence::Served(latency) => latency,
            _ => Duration::from_millis(10),
        };
        d.record_start(now, Ticket(n), objective);
        for _ in 0..took.as_millis().div_ceil(10) {
            now = now + Duration::from_millis(10);
            if now.0.is_multiple_of(1000) {
                d.on_summary(now, summary);
            }
            if matches!(d.verdict(now), Verdict::Unhealthy(_)) {
                return Some(now.0 - 1000);
            }
        }
        d.record_end(now, Ticket(n), evidence);
    }
    None
}

fn healthy() -> ServiceSummary {
    summary(MEDIAN, Duration::ZERO, 0)
}

/// Runs lookups of 270 ms (the median; objective 1.2 s) and half as many history requests of 2.7 s
/// on average (objective 8 s) at a server that multiplies these times by `slower`.
fn unhealthy_ms_with_lookups(slower: u32) -> Option<u64> {
    let options = DetectOptions {
        min_slow_threshold: Duration::from_secs(3),
        ..DetectOptions::new(Duration::from_millis(400), Disposition::QUICK)
    };
    let lookup = Duration::from_millis(270);
    let mut rng = SmallRng::seed_from_u64(16);
    let mut d = Detector::new(options);
    unhealthy_ms_with_objectives(&mut d, &summary(lookup, Duration::ZERO, 0), |n| {
        if !n.is_multiple_of(3) {
            return (
                Duration::from_millis(1200),
                Evidence::Served(lookup * slower),
            );
        }
        let history = Duration::from_millis(rng.random_range(900..4500));
        (Duration::from_secs(8), Evidence::Served(history * slower))
    })
}

/// Guards against judging servers slow because one kind of request takes longer than another.
#[test]
fn long_requests_within_their_objective_are_no_sign_of_a_slow_server() {
    assert_eq!(unhealthy_ms_with_lookups(1), None);
    assert!(unhealthy_ms_with_lookups(8).is_some());
}

/// Guards against a server that answers probes and stalls real requests: the age of its requests
/// reveals it, sooner with the quick disposition.
#[test]
fn a_stall_is_found_by_the_age_of_requests() {
    let found = |disposition| {
        let mut d = detector(disposition);
        for n in 0..5 {
            d.record_start(Millis(1000), Ticket(n), NO_OBJECTIVE);
        }
        (1000..20_000u64).step_by(50).find(|ms| {
            // A node reports every two seconds and when a suspicion waits for a summary.
            if ms.is_multiple_of(2000) || d.needs_summary(Millis(*ms)) {
                d.on_summary(Millis(*ms), &healthy());
            }
            matches!(d.verdict(Millis(*ms)), Verdict::Unhealthy(_))
        })
    };
    let (quick, cautious) = (found(Disposition::QUICK), found(Disposition::CAUTIOUS));
    assert!(quick.is_some_and(|ms| ms <= 3000), "{quick:?}");
    assert!(cautious.is_some_and(|ms| ms <= 6000), "{cautious:?}");
    assert!(quick < cautious);
}

/// Guards against missing faults that leave some responses good, or that make all of them slow.
#[test]
fn slowness_and_partial_errors_are_found() {
    for disposition in [Disposition::QUICK, Disposition::CAUTIOUS] {
        let slow = unhealthy_ms(&mut detector(disposition), &healthy(), |_| {
            Evidence::Served(MEDIAN * 8)
        });
        let errors = unhealthy_ms(&mut detector(disposition), &healthy(), |n| match n % 3 {
            0 => Evidence::Failed,
            _ => Evidence::Served(MEDIAN),
        });
        assert!(slow.is_some() && errors.is_some(), "{slow:?} {errors:?}");
    }
}

/// Guards against ejecting a server that is slow or failing because all servers of the service are.
#[test]
fn a_fault_common_to_the_service_does_not_eject() {
    let all_slow = summary(MEDIAN * 8, MEDIAN * 8, 0);
    let all_failing = summary(MEDIAN, Duration::ZERO, 400);
    let stalled = summary(MEDIAN, Duration::from_secs(30), 0);

    let mut d = detector(Disposition::QUICK);
    let slow = unhealthy_ms(&mut d, &all_slow, |_| Evidence::Served(MEDIAN * 8));
    let mut d = detector(Disposition::QUICK);
    let failing = unhealthy_ms(&mut d, &all_failing, |n| match n % 7 {
        0 | 3 => Evidence::Failed,
        _ => Evidence::Served(MEDIAN),
    });
    let mut d = detector(Disposition::QUICK);
    let hanging = unhealthy_ms(&mut d, &stalled, |_| {
        Evidence::Served(Duration::from_secs(20))
    });

    assert_eq!((slow, failing, hanging), (None, None, None));
}

/// Guards against an ejection without a comparison: with all keepers unreachable the server is only
/// suspect, and so demoted.
#[test]
fn without_a_fresh_summary_a_server_is_only_suspect() {
    let mut d = detector(Disposition::QUICK);
    d.on_summary(Millis(0), &healthy());
    for n in 0..5 {
        d.record_start(Millis(1000), Ticket(n), NO_OBJECTIVE);
    }
    for ms in (1000..60_000).step_by(50) {
        assert!(!matches!(d.verdict(Millis(ms)), Verdict::Unhealthy(_)));
    }
    assert!(matches!(d.verdict(Millis(60_000)), Verdict::Suspect(_)));
}

/// Guards against an ejection by a summary from before the evidence: after a summary showed that
/// all servers hang, later evidence needs a newer one.
#[test]
fn evidence_after_a_correction_needs_a_summary_of_its_own() {
    let mut d = detector(Disposition::QUICK);
    (0..5).for_each(|n| d.record_start(Millis(1000), Ticket(n), NO_OBJECTIVE));
    for ms in (1000..6000u64).step_by(50) {
        if ms == 2000 {
            let common = summary(MEDIAN, Duration::from_millis(600), 0);
            d.on_summary(Millis(ms), &common);
        }
        if ms == 3000 {
            (0..5).for_each(|n| d.record_end(Millis(ms), Ticket(n), Evidence::Abandoned));
            (5..10).for_each(|n| d.record_start(Millis(ms), Ticket(n), NO_OBJECTIVE));
        }
        let verdict = d.verdict(Millis(ms));
        assert!(!matches!(verdict, Verdict::Unhealthy(_)), "at {ms} ms");
    }
}

/// Guards against an ejection for a short pause: a server that is picked last gets no requests that
/// would clear it, so old evidence must expire.
#[test]
fn a_short_pause_does_not_eject() {
    for disposition in [Disposition::QUICK, Disposition::CAUTIOUS] {
        let mut d = detector(disposition);
        for n in 0..5 {
            d.record_start(Millis(1000), Ticket(n), NO_OBJECTIVE);
        }
        let mut suspected = false;
        for ms in (1000..20_000u64).step_by(50) {
            if ms.is_multiple_of(500) {
                d.on_summary(Millis(ms), &healthy());
            }
            if ms == 1500 {
                let pause = Evidence::Served(Duration::from_millis(500));
                (0..5).for_each(|n| d.record_end(Millis(ms), Ticket(n), pause));
            }
            let verdict = d.verdict(Millis(ms));
            suspected |= verdict != Verdict::Healthy;
            assert!(!matches!(verdict, Verdict::Unhealthy(_)), "at {ms} ms");
        }
        assert!(suspected);
        assert_eq!(d.verdict(Millis(20_000)), Verdict::Healthy);
    }
}

/// Guards against a slow server whose suspicion ends each time its requests end: a recurring fault
/// counts as the same one.
#[test]
fn a_recurring_fault_continues_the_suspicion() {
    let mut d = detector(Disposition::CAUTIOUS);
    let (mut ticket, mut found_at) = (0, None);
    for ms in (1000..20_000u64).step_by(50) {
        let now = Millis(ms);
        if ms.is_multiple_of(500) {
            d.on_summary(now, &healthy());
        }
        match d.verdict(now) {
            // A suspect server is picked last: no requests arrive.
            Verdict::Suspect(_) => {}
            Verdict::Unhealthy(_) => found_at = found_at.or(Some(ms)),
            Verdict::Healthy => {
                d.record_start(now, Ticket(ticket), NO_OBJECTIVE);
                d.record_end(now, Ticket(ticket), Evidence::Failed);
                ticket += 1;
            }
        }
    }
    assert!(found_at.is_some_and(|ms| ms < 10_000), "{found_at:?}");
}

/// Guards against ejections by the normal spread of latencies and by single errors.
#[test]
fn normal_variation_does_not_eject() {
    let mut rng = SmallRng::seed_from_u64(7);
    for disposition in [Disposition::QUICK, Disposition::CAUTIOUS] {
        let found_at = unhealthy_ms(&mut detector(disposition), &healthy(), |_| {
            if rng.random_ratio(1, 500) {
                return Evidence::Failed;
            }
            // Exponential distribution with a median of the usual latency.
            let x: f64 = rng.random_range(0.0f64..1.0);
            Evidence::Served(MEDIAN.mul_f64(-(1.0 - x).log2()))
        });
        assert_eq!(found_at, None);
    }
}

struct Harness {
    health: EndpointHealth,
    keeper: LeaseTable,
    budget: u32,
}

fn harness(budget: u32) -> Harness {
    let id = EndpointId {
        service: service(),
        node: NodeName::try_new("n1").unwrap(),
        name: EndpointName::try_new("a").unwrap(),
    };
    let ejector = Ejector::new(
        id,
        Region::try_new("ege").unwrap(),
        &[KeeperId(1)],
        Incarnation(1),
        LeaseOptions::default(),
        EjectOptions::default(),
    );
    Harness {
        health: EndpointHealth::new(detector(Disposition::QUICK), ejector),
        keeper: LeaseTable::new(KeeperId(1), Millis(0), LeaseOptions::default()),
        budget,
    }
}

impl Harness {
    fn tick(&mut self, now: Millis) {
        if now.0.is_multiple_of(1000) {
            self.health.on_summary(now, &healthy());
        }
        if let Some(release) = self.health.tick(now) {
            self.keeper.handle_release(&release);
        }
        if let Some(req) = self.health.poll_lease(now) {
            let reply = self.keeper.handle_request(now, &req, self.budget);
            self.health.on_lease_reply(now, &reply);
        }
    }

    /// Lets requests hang until the server is no longer ready; returns the time.
    fn make_unhealthy(&mut self, from: u64, tickets: u64) -> u64 {
        for n in 0..4 {
            self.health
                .record_start(Millis(from), Ticket(tickets + n), NO_OBJECTIVE);
        }
        let found_at = (from..from + 10_000).step_by(50).find(|ms| {
            self.tick(Millis(*ms));
            self.health.trial_slots(Millis(*ms)) == 0
                && matches!(self.health.verdict(), Verdict::Unhealthy(_))
        });
        found_at.expect("the stall was not detected")
    }

    /// Answers trials as they become due; returns when the server is ready again.
    fn pass_trials(&mut self, from: u64, mut ticket: u64) -> u64 {
        for ms in (from..from + 300_000).step_by(50) {
            let now = Millis(ms);
            self.tick(now);
            if self.health.trial_slots(now) > 0 {
                self.health.record_start(now, Ticket(ticket), NO_OBJECTIVE);
                let served = Evidence::Served(MEDIAN);
                if let Some(release) = self.health.record_end(now, Ticket(ticket), served) {
                    self.keeper.handle_release(&release);
                }
                ticket += 1;
            }
            if self.health.state(now) == ServingState::Ready {
                return ms;
            }
        }
        panic!("the server did not become ready again");
    }
}

/// Guards against an ejection without a lease: beyond the budget a server is only demoted.
#[test]
fn holds_ejection_floor_by_demoting_without_a_lease() {
    for (budget, expected) in [(1, ServingState::Ejected), (0, ServingState::Demoted)] {
        let mut s = harness(budget);
        let found_at = s.make_unhealthy(10_000, 0);
        for ms in (found_at + 50..found_at + 2000).step_by(50) {
            s.tick(Millis(ms));
        }
        assert_eq!(s.health.state(Millis(found_at + 2000)), expected);
    }
}

/// Guards against a flapping server that returns as quickly each time, and against one that never
/// returns.
#[test]
fn a_flapping_server_waits_longer_each_time() {
    let mut s = harness(1);
    let mut now = 10_000;
    let mut waits = Vec::new();
    for cycle in 0..4 {
        let found_at = s.make_unhealthy(now, cycle * 10_000);
        let back = s.pass_trials(found_at, cycle * 10_000 + 100);
        waits.push(back - found_at);
        now = back + 1000;
    }
    assert!(waits.is_sorted_by(|a, b| a < b), "{waits:?}");

    let found_at = s.make_unhealthy(now + 600_000, 90_000);
    let back = s.pass_trials(found_at, 90_100);
    assert!(back - found_at <= waits[0] + 100, "flaps are not forgotten");
}

/// Guards against a server that is cleared by a response from before its ejection or by a slow one.
#[test]
fn only_served_trials_clear_a_server() {
    let mut s = harness(1);
    let found_at = s.make_unhealthy(10_000, 0);
    let later = Millis(found_at + 2000);
    for n in 0..4 {
        s.health
            .record_end(later, Ticket(n), Evidence::Served(MEDIAN));
    }
    assert_ne!(s.health.state(later), ServingState::Ready);
    for n in 10..30 {
        s.health.record_start(later, Ticket(n), NO_OBJECTIVE);
        s.health
            .record_end(later, Ticket(n), Evidence::Served(MEDIAN * 20));
    }
    assert_ne!(s.health.state(later), ServingState::Ready);
}
