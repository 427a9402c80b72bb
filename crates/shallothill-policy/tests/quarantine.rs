//! Tests of the quarantine and of the callers' limits.

use std::time::Duration;

use shallothill_core::class::Class;
use shallothill_core::config::Caller;
use shallothill_core::hash::Fingerprint;
use shallothill_core::ids::CallerName;
use shallothill_core::time::Millis;
use shallothill_policy::limits::{CallerLimits, LimitOptions};
use shallothill_policy::pick::EndpointKey;
use shallothill_policy::quarantine::{CrashId, Quarantine, QuarantineDecision, QuarantineOptions};

const POISON: Fingerprint = Fingerprint(7);

fn crash(n: u64) -> CrashId {
    CrashId {
        endpoint: EndpointKey(n),
        crash: 1,
    }
}

fn caller(rate: Option<u32>, concurrent: Option<u32>) -> Caller {
    Caller {
        class: Class::Shop,
        requests_per_s: rate,
        concurrent,
        keys: Vec::new(),
        rank: None,
        quota: None,
    }
}

fn name(n: usize) -> CallerName {
    CallerName::try_new(&format!("shop-{n}")).unwrap()
}

/// Guards against a request that crashes server after server: after one crash it runs one attempt
/// at a time, after two none until its release.
#[test]
fn holds_two_crashes_per_request() {
    let mut q = Quarantine::new(QuarantineOptions::default());
    let now = Millis(1_000_000);
    let zero = Duration::ZERO;
    assert_eq!(q.admit(now, POISON), QuarantineDecision::Unrestricted);

    assert!(q.record_crash(now, POISON, crash(1), zero));
    assert!(
        !q.record_crash(now, POISON, crash(1), zero),
        "a repeat counted"
    );
    assert_eq!(q.admit(now, POISON), QuarantineDecision::Exclusive);
    assert_eq!(q.admit(now, POISON), QuarantineDecision::Busy);
    q.release_exclusive(POISON);
    assert_eq!(q.admit(now, POISON), QuarantineDecision::Exclusive);
    assert!(q.record_crash(now, POISON, crash(2), zero));
    q.release_exclusive(POISON);

    assert!(matches!(
        q.admit(now, POISON),
        QuarantineDecision::Quarantined(_)
    ));
    let later = now + Duration::from_secs(599);
    assert!(matches!(
        q.admit(later, POISON),
        QuarantineDecision::Quarantined(_)
    ));
    let released = now + Duration::from_secs(600);
    assert_eq!(q.admit(released, POISON), QuarantineDecision::Unrestricted);
}

/// Guards against the quarantine of a popular request that was in flight when others crashed
/// servers, whether it was answered before those crashes or only after them.
#[test]
fn a_bystander_that_is_answered_is_not_quarantined() {
    let popular = Fingerprint(8);
    let mut q = Quarantine::new(QuarantineOptions::default());
    let now = Millis(1_000_000);
    let later = now + Duration::from_millis(100);
    q.record_crash(now, popular, crash(1), Duration::ZERO);
    q.record_crash(now, popular, crash(2), Duration::ZERO);
    q.record_crash(now, POISON, crash(1), Duration::ZERO);
    q.record_crash(now, POISON, crash(2), Duration::ZERO);

    q.record_answer(later, popular);

    assert_eq!(q.admit(later, popular), QuarantineDecision::Unrestricted);
    assert!(matches!(
        q.admit(later, POISON),
        QuarantineDecision::Quarantined(_)
    ));
    let age = Duration::from_millis(100);
    assert!(
        !q.record_crash(later, popular, crash(2), age),
        "a late notice"
    );
    q.record_crash(later, popular, crash(3), Duration::ZERO);
    q.record_crash(later, popular, crash(4), Duration::ZERO);
    assert_eq!(q.admit(later, popular), QuarantineDecision::Unrestricted);
}

/// Guards against a request that was answered once and then crashes servers without end.
#[test]
fn an_answered_request_is_quarantined_after_more_crashes() {
    let mut q = Quarantine::new(QuarantineOptions::default());
    let now = Millis(1_000_000);
    q.record_answer(now, POISON);
    for n in 0..4 {
        assert_eq!(q.admit(now, POISON), QuarantineDecision::Unrestricted);
        q.record_crash(now, POISON, crash(n), Duration::ZERO);
    }
    assert!(matches!(
        q.admit(now, POISON),
        QuarantineDecision::Quarantined(_)
    ));

    let paused = now + Duration::from_secs(10);
    assert_eq!(q.admit(paused, POISON), QuarantineDecision::Exclusive);
    assert_eq!(q.admit(paused, POISON), QuarantineDecision::Busy);
    let news = q.record_crash(paused, POISON, crash(5), Duration::ZERO);
    q.release_exclusive(POISON);
    assert!(news, "a crash after the pause is reported");
    assert!(matches!(
        q.admit(paused, POISON),
        QuarantineDecision::Quarantined(_)
    ));
}

/// Guards against late notices that extend a quarantine beyond its time.
#[test]
fn an_old_crash_is_released_by_its_own_age() {
    let mut q = Quarantine::new(QuarantineOptions::default());
    let now = Millis(1_000_000);
    q.record_crash(now, POISON, crash(1), Duration::from_secs(590));
    q.record_crash(now, POISON, crash(2), Duration::from_secs(595));
    assert!(matches!(
        q.admit(now, POISON),
        QuarantineDecision::Quarantined(_)
    ));
    let later = now + Duration::from_secs(10);
    assert_eq!(q.admit(later, POISON), QuarantineDecision::Unrestricted);
}

/// Guards against memory that grows with the number of crashing requests.
#[test]
fn the_quarantine_is_bounded() {
    let mut q = Quarantine::new(QuarantineOptions {
        max_fingerprints: 100,
        ..QuarantineOptions::default()
    });
    for n in 0..1000 {
        q.record_crash(Millis(n), Fingerprint(n), crash(n), Duration::ZERO);
    }
    let listed = q.list();
    assert_eq!(listed.len(), 100);
    assert_eq!(listed[0].fingerprint, Fingerprint(900));
}

/// Guards against a caller that exceeds its rate or concurrency, and against a permit that still
/// counts after its request has ended.
#[test]
fn holds_caller_limits() {
    let limits = CallerLimits::new(&LimitOptions::default());
    let rate = caller(Some(50), None);
    let mut accepted = 0;
    for ms in 0..=10_000 {
        accepted += u32::from(limits.try_start(Millis(ms), &name(1), &rate).is_ok());
    }
    // Ten seconds of the rate and one second of burst.
    assert_eq!(accepted, 550);

    let concurrent = caller(None, Some(2));
    let a = limits.try_start(Millis(0), &name(2), &concurrent);
    let b = limits.try_start(Millis(0), &name(2), &concurrent);
    assert!(a.is_ok() && b.is_ok());
    assert!(limits.try_start(Millis(0), &name(2), &concurrent).is_err());
    drop(a);
    assert!(limits.try_start(Millis(0), &name(2), &concurrent).is_ok());
}

/// Guards against memory that grows with the number of callers.
#[test]
fn the_limits_are_bounded() {
    let limits = CallerLimits::new(&LimitOptions { max_callers: 640 });
    let c = caller(Some(1000), None);
    for n in 0..20_000 {
        let _ = limits.try_start(Millis(n as u64), &name(n), &c);
    }
    assert!(limits.len() <= 640, "{} callers", limits.len());
}
