//! Tests of detection and of the way back from an ejection.

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

const USUAL: Duration = Duration::from_millis(40);
const NO_OBJECTIVE: Duration = Duration::ZERO;

fn service() -> ServiceName {
    ServiceName::try_new("courier").unwrap()
}

fn detector(disposition: Disposition) -> Detector {
    Detector::new(DetectOptions::new(USUAL, disposition))
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

/// Runs requests one after the other, with a summary every second; returns the first time at
/// which the verdict is sick.
fn first_sick(
    d: &mut Detector,
    summary: &ServiceSummary,
    mut next: impl FnMut(u64) -> Evidence,
) -> Option<u64> {
    first_sick_of_kinds(d, summary, |n| (NO_OBJECTIVE, next(n)))
}

/// Does the same with requests that have an objective each.
fn first_sick_of_kinds(
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

fn well() -> ServiceSummary {
    summary(USUAL, Duration::ZERO, 0)
}

/// Plays lookups of 270 ms, the median, with an objective of 1.2 s, and one history of 2.7 s on average
/// with an objective of 8 s for each two of them, at a server that is `slower` than that.
fn first_sick_beside_lookups(slower: u32) -> Option<u64> {
    let options = DetectOptions {
        min_slow_threshold: Duration::from_secs(3),
        ..DetectOptions::new(Duration::from_millis(400), Disposition::QUICK)
    };
    let lookup = Duration::from_millis(270);
    let mut rng = SmallRng::seed_from_u64(16);
    let mut d = Detector::new(options);
    first_sick_of_kinds(&mut d, &summary(lookup, Duration::ZERO, 0), |n| {
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

/// Guards against servers that are found slow since one kind of request takes longer than another.
#[test]
fn long_requests_within_their_objective_are_no_sign_of_a_slow_server() {
    assert_eq!(first_sick_beside_lookups(1), None);
    assert!(first_sick_beside_lookups(8).is_some());
}

/// Guards against a server that answers probes and stalls real work: it is found by the age of its
/// requests, sooner with the quick disposition.
#[test]
fn a_stall_is_found_by_the_age_of_requests() {
    let found = |disposition| {
        let mut d = detector(disposition);
        for n in 0..5 {
            d.record_start(Millis(1000), Ticket(n), NO_OBJECTIVE);
        }
        (1000..20_000u64).step_by(50).find(|ms| {
            // A node reports each two seconds and when a suspicion waits for a summary.
            if ms.is_multiple_of(2000) || d.needs_summary(Millis(*ms)) {
                d.on_summary(Millis(*ms), &well());
            }
            matches!(d.verdict(Millis(*ms)), Verdict::Unhealthy(_))
        })
    };
    let (quick, cautious) = (found(Disposition::QUICK), found(Disposition::CAUTIOUS));
    assert!(quick.is_some_and(|ms| ms <= 3000), "{quick:?}");
    assert!(cautious.is_some_and(|ms| ms <= 6000), "{cautious:?}");
    assert!(quick < cautious);
}

/// Guards against faults that leave part of the answers good, or all of them slow.
#[test]
fn slowness_and_partial_errors_are_found() {
    for disposition in [Disposition::QUICK, Disposition::CAUTIOUS] {
        let slow = first_sick(&mut detector(disposition), &well(), |_| {
            Evidence::Served(USUAL * 8)
        });
        let errors = first_sick(&mut detector(disposition), &well(), |n| match n % 3 {
            0 => Evidence::Failed,
            _ => Evidence::Served(USUAL),
        });
        assert!(slow.is_some() && errors.is_some(), "{slow:?} {errors:?}");
    }
}

/// Guards against ejections of servers that are slow or failing because all of them are.
#[test]
fn what_the_whole_service_shares_is_not_held_against_a_server() {
    let all_slow = summary(USUAL * 8, USUAL * 8, 0);
    let all_failing = summary(USUAL, Duration::ZERO, 400);
    let stalled = summary(USUAL, Duration::from_secs(30), 0);

    let mut d = detector(Disposition::QUICK);
    let slow = first_sick(&mut d, &all_slow, |_| Evidence::Served(USUAL * 8));
    let mut d = detector(Disposition::QUICK);
    let failing = first_sick(&mut d, &all_failing, |n| match n % 7 {
        0 | 3 => Evidence::Failed,
        _ => Evidence::Served(USUAL),
    });
    let mut d = detector(Disposition::QUICK);
    let hanging = first_sick(&mut d, &stalled, |_| {
        Evidence::Served(Duration::from_secs(20))
    });

    assert_eq!((slow, failing, hanging), (None, None, None));
}

/// Guards against an ejection without a comparison: with all keepers out of reach the server is
/// only suspect, and so demoted.
#[test]
fn without_a_fresh_summary_a_server_is_only_suspect() {
    let mut d = detector(Disposition::QUICK);
    d.on_summary(Millis(0), &well());
    for n in 0..5 {
        d.record_start(Millis(1000), Ticket(n), NO_OBJECTIVE);
    }
    for ms in (1000..60_000).step_by(50) {
        assert!(!matches!(d.verdict(Millis(ms)), Verdict::Unhealthy(_)));
    }
    assert!(matches!(d.verdict(Millis(60_000)), Verdict::Suspect(_)));
}

/// Guards against an ejection by a summary from before the evidence: when a summary shows that all
/// servers hang, what follows needs a newer one.
#[test]
fn evidence_after_a_correction_needs_a_summary_of_its_own() {
    let mut d = detector(Disposition::QUICK);
    (0..5).for_each(|n| d.record_start(Millis(1000), Ticket(n), NO_OBJECTIVE));
    for ms in (1000..6000u64).step_by(50) {
        if ms == 2000 {
            let common = summary(USUAL, Duration::from_millis(600), 0);
            d.on_summary(Millis(ms), &common);
        }
        if ms == 3000 {
            (0..5).for_each(|n| d.record_end(Millis(ms), Ticket(n), Evidence::Abandoned));
            (5..10).for_each(|n| d.record_start(Millis(ms), Ticket(n), NO_OBJECTIVE));
        }
        let verdict = d.verdict(Millis(ms));
        assert!(!matches!(verdict, Verdict::Unhealthy(_)), "sick at {ms} ms");
    }
}

/// Guards against an ejection for a short pause: a server that is picked last gets no requests
/// that would clear it, so old evidence must not stand for ever.
#[test]
fn a_pause_is_no_sickness() {
    for disposition in [Disposition::QUICK, Disposition::CAUTIOUS] {
        let mut d = detector(disposition);
        for n in 0..5 {
            d.record_start(Millis(1000), Ticket(n), NO_OBJECTIVE);
        }
        let mut suspected = false;
        for ms in (1000..20_000u64).step_by(50) {
            if ms.is_multiple_of(500) {
                d.on_summary(Millis(ms), &well());
            }
            if ms == 1500 {
                let pause = Evidence::Served(Duration::from_millis(500));
                (0..5).for_each(|n| d.record_end(Millis(ms), Ticket(n), pause));
            }
            let verdict = d.verdict(Millis(ms));
            suspected |= verdict != Verdict::Healthy;
            assert!(!matches!(verdict, Verdict::Unhealthy(_)), "sick at {ms} ms");
        }
        assert!(suspected);
        assert_eq!(d.verdict(Millis(20_000)), Verdict::Healthy);
    }
}

/// Guards against a slow server that is lifted from suspicion each time its requests end: the
/// returning fault counts as the same one.
#[test]
fn a_returning_fault_is_the_same_one() {
    let mut d = detector(Disposition::CAUTIOUS);
    let (mut ticket, mut sick) = (0, None);
    for ms in (1000..20_000u64).step_by(50) {
        let now = Millis(ms);
        if ms.is_multiple_of(500) {
            d.on_summary(now, &well());
        }
        match d.verdict(now) {
            // Picked last: no requests arrive.
            Verdict::Suspect(_) => {}
            Verdict::Unhealthy(_) => sick = sick.or(Some(ms)),
            Verdict::Healthy => {
                d.record_start(now, Ticket(ticket), NO_OBJECTIVE);
                d.record_end(now, Ticket(ticket), Evidence::Failed);
                ticket += 1;
            }
        }
    }
    assert!(sick.is_some_and(|ms| ms < 10_000), "{sick:?}");
}

/// Guards against ejections by the usual spread of latencies and single errors.
#[test]
fn usual_variation_is_not_sickness() {
    let mut rng = SmallRng::seed_from_u64(7);
    for disposition in [Disposition::QUICK, Disposition::CAUTIOUS] {
        let sick = first_sick(&mut detector(disposition), &well(), |_| {
            if rng.random_ratio(1, 500) {
                return Evidence::Failed;
            }
            // Exponential, with a median of the usual latency.
            let x: f64 = rng.random_range(0.0f64..1.0);
            Evidence::Served(USUAL.mul_f64(-(1.0 - x).log2()))
        });
        assert_eq!(sick, None);
    }
}

struct Site {
    health: EndpointHealth,
    member: LeaseTable,
    budget: u32,
}

fn site(budget: u32) -> Site {
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
    Site {
        health: EndpointHealth::new(detector(Disposition::QUICK), ejector),
        member: LeaseTable::new(KeeperId(1), Millis(0), LeaseOptions::default()),
        budget,
    }
}

impl Site {
    fn tick(&mut self, now: Millis) {
        if now.0.is_multiple_of(1000) {
            self.health.on_summary(now, &well());
        }
        if let Some(release) = self.health.tick(now) {
            self.member.handle_release(&release);
        }
        if let Some(req) = self.health.poll_lease(now) {
            let reply = self.member.handle_request(now, &req, self.budget);
            self.health.on_lease_reply(now, &reply);
        }
    }

    /// Lets requests hang until the server is no longer ready; returns the time.
    fn make_sick(&mut self, from: u64, tickets: u64) -> u64 {
        for n in 0..4 {
            self.health
                .record_start(Millis(from), Ticket(tickets + n), NO_OBJECTIVE);
        }
        let sick = (from..from + 10_000).step_by(50).find(|ms| {
            self.tick(Millis(*ms));
            self.health.trial_slots(Millis(*ms)) == 0
                && matches!(self.health.verdict(), Verdict::Unhealthy(_))
        });
        sick.expect("the stall was not found")
    }

    /// Serves trials as they are due; returns when the server is ready again.
    fn serve_trials(&mut self, from: u64, mut ticket: u64) -> u64 {
        for ms in (from..from + 300_000).step_by(50) {
            let now = Millis(ms);
            self.tick(now);
            if self.health.trial_slots(now) > 0 {
                self.health.record_start(now, Ticket(ticket), NO_OBJECTIVE);
                let served = Evidence::Served(USUAL);
                if let Some(release) = self.health.record_end(now, Ticket(ticket), served) {
                    self.member.handle_release(&release);
                }
                ticket += 1;
            }
            if self.health.state(now) == ServingState::Ready {
                return ms;
            }
        }
        panic!("the server did not come back");
    }
}

/// Guards against an ejection without a lease: beyond the budget a sick server is demoted only.
#[test]
fn holds_ejection_floor_by_demoting_without_a_lease() {
    for (budget, expected) in [(1, ServingState::Ejected), (0, ServingState::Demoted)] {
        let mut s = site(budget);
        let sick = s.make_sick(10_000, 0);
        for ms in (sick + 50..sick + 2000).step_by(50) {
            s.tick(Millis(ms));
        }
        assert_eq!(s.health.state(Millis(sick + 2000)), expected);
    }
}

/// Guards against a flapping server that comes back as fast each time, and against one that is
/// shut out for good.
#[test]
fn a_flapping_server_waits_longer_each_time() {
    let mut s = site(1);
    let mut now = 10_000;
    let mut waits = Vec::new();
    for life in 0..4 {
        let sick = s.make_sick(now, life * 10_000);
        let back = s.serve_trials(sick, life * 10_000 + 100);
        waits.push(back - sick);
        now = back + 1000;
    }
    assert!(waits.is_sorted_by(|a, b| a < b), "{waits:?}");

    let sick = s.make_sick(now + 600_000, 90_000);
    let back = s.serve_trials(sick, 90_100);
    assert!(back - sick <= waits[0] + 100, "flaps are not forgotten");
}

/// Guards against a server that is cleared by an answer from before its ejection or by a slow one.
#[test]
fn only_served_trials_clear_a_server() {
    let mut s = site(1);
    let sick = s.make_sick(10_000, 0);
    let later = Millis(sick + 2000);
    for n in 0..4 {
        s.health
            .record_end(later, Ticket(n), Evidence::Served(USUAL));
    }
    assert_ne!(s.health.state(later), ServingState::Ready);
    for n in 10..30 {
        s.health.record_start(later, Ticket(n), NO_OBJECTIVE);
        s.health
            .record_end(later, Ticket(n), Evidence::Served(USUAL * 20));
    }
    assert_ne!(s.health.state(later), ServingState::Ready);
}
