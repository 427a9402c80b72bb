//! Tests of retries, hedges and their budget.

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use shallothill_core::outcome::Outcome;
use shallothill_core::time::Millis;
use shallothill_policy::gray::Caution;
use shallothill_policy::pick::EndpointKey;
use shallothill_policy::retry::{Attempts, NextStep, RefusedBy, RetryBudget, RetryOptions};

const SEEDS: [u64; 4] = [
    0x51ed_270b_0001_0000,
    0x2545_f491_0001_0000,
    0x9e37_79b9_0001_0000,
    0x1b87_3593_0001_0000,
];

const FAILURES: [Outcome; 3] = [
    Outcome::RefusedNotRun,
    Outcome::RanAndFailed,
    Outcome::Unknown,
];

fn options() -> RetryOptions {
    RetryOptions {
        hedge_after: Some(Duration::from_millis(50)),
        ..RetryOptions::default()
    }
}

struct RequestTrace {
    attempts: u32,
    ran: u32,
}

/// Simulates one request to its end; `allows` tells after which outcomes it may be sent again.
fn simulate_request(
    u: &mut Unstructured<'_>,
    budget: &RetryBudget,
    idempotent: bool,
    allows: impl Fn(Outcome) -> bool,
) -> Result<RequestTrace> {
    let options = options();
    let mut attempts = Attempts::new(idempotent, Millis(1000));
    let mut trace = RequestTrace {
        attempts: 0,
        ran: 0,
    };
    let mut now = Millis(0);
    loop {
        trace.attempts += 1;
        attempts.record_start(EndpointKey(u.arbitrary()?), &options, budget);
        let sent = now;
        now = now + Duration::from_millis(u.int_in_range(0..=200)?);
        let mut running = 1;
        if attempts.try_hedge(now, sent, &options, budget) {
            assert!(idempotent, "a non-idempotent request was hedged");
            attempts.record_start(EndpointKey(u.arbitrary()?), &options, budget);
            trace.attempts += 1;
            running += 1;
        }
        for i in 0..running {
            let outcome = *u.choose(&FAILURES)?;
            trace.ran += u32::from(outcome != Outcome::RefusedNotRun);
            match attempts.on_attempt_end(now, outcome, &options, budget) {
                NextStep::Wait => assert_eq!(i + 1, 1),
                NextStep::Retry | NextStep::RetryAfter(_) => {
                    assert!(allows(outcome), "sent again after {outcome}");
                }
                NextStep::Return(_) => return Ok(trace),
            }
        }
    }
}

/// Guards against duplicated work: a non-idempotent request is sent again only if it certainly did
/// not run, so at most one of its attempts may have run.
#[test]
fn holds_at_most_one_run_of_non_idempotent() {
    for seed in SEEDS {
        arbtest(|u| {
            for _ in 0..300 {
                let budget = RetryBudget::default();
                let trace = simulate_request(u, &budget, false, |o| o == Outcome::RefusedNotRun)?;
                assert!(trace.ran <= 1, "{} attempts may have run", trace.ran);
                assert!(trace.attempts <= 3);
            }
            Ok(())
        })
        .seed(seed)
        .run();
    }
}

/// Guards against retries that amplify an overload: all attempts beyond the first ones stay within
/// the budget.
#[test]
fn holds_retry_budget() {
    for seed in SEEDS {
        arbtest(|u| {
            let budget = RetryBudget::default();
            let mut extra = 0;
            for first in 1..=1000 {
                let idempotent = u.arbitrary()?;
                let trace = simulate_request(u, &budget, idempotent, |_| true)?;
                assert!(trace.attempts <= 3);
                extra += trace.attempts - 1;
                assert!(extra <= 10 + first / 10, "{extra} retries of {first}");
            }
            Ok(())
        })
        .seed(seed)
        .run();
    }
}

/// Guards against a property that can't fail: a budget that is not shared between requests must
/// break the bound of `holds_retry_budget`.
#[test]
fn an_unshared_budget_is_caught() {
    arbtest(|u| {
        let mut extra = 0;
        for _ in 0..1000 {
            extra += simulate_request(u, &RetryBudget::default(), true, |_| true)?.attempts - 1;
        }
        assert!(extra > 10 + 100, "only {extra} retries");
        Ok(())
    })
    .seed(SEEDS[0])
    .run();
}

/// Guards against a second response after the first byte of one was sent to the caller.
#[test]
fn nothing_is_sent_again_once_the_response_began() {
    let budget = RetryBudget::default();
    let mut attempts = Attempts::new(true, Millis(1000));
    attempts.record_start(EndpointKey(1), &options(), &budget);
    attempts.record_response_start();

    let hedge = attempts.try_hedge(Millis(500), Millis(0), &options(), &budget);
    let next = attempts.on_attempt_end(Millis(500), Outcome::Unknown, &options(), &budget);

    assert!(!hedge);
    assert_eq!(next, NextStep::Return(Outcome::Unknown));
}

/// Guards against telling a caller that its request did not run when one attempt may have.
#[test]
fn holds_refused_as_not_run() {
    let budget = RetryBudget::default();
    let mut attempts = Attempts::new(true, Millis(1000));
    let mut last = NextStep::Retry;
    for outcome in [
        Outcome::Unknown,
        Outcome::RefusedNotRun,
        Outcome::RefusedNotRun,
    ] {
        assert_eq!(last, NextStep::Retry);
        attempts.record_start(EndpointKey(1), &options(), &budget);
        last = attempts.on_attempt_end(Millis(1), outcome, &options(), &budget);
    }
    assert_eq!(last, NextStep::Return(Outcome::Unknown));
}

/// Guards against retries that no caller waits for.
#[test]
fn nothing_is_sent_again_after_the_deadline() {
    let budget = RetryBudget::default();
    let mut attempts = Attempts::new(true, Millis(1000));
    attempts.record_start(EndpointKey(1), &options(), &budget);
    let next = attempts.on_attempt_end(Millis(1000), Outcome::Unknown, &options(), &budget);
    assert_eq!(next, NextStep::Return(Outcome::Unknown));
}

/// Guards against repeatable requests that are not used as trials of suspected servers, and against
/// second attempts that are. The caution is read before an attempt is started.
#[test]
fn only_first_attempts_of_repeatable_requests_are_trials() {
    let budget = RetryBudget::default();
    let mut repeatable = Attempts::new(true, Millis(1000));
    let once = Attempts::new(false, Millis(1000));
    let first = repeatable.caution(12);

    repeatable.record_start(EndpointKey(1), &options(), &budget);
    repeatable.on_refusal(Millis(1), RefusedBy::OwnRegion, &options());
    let after_refusal = repeatable.caution(12);
    repeatable.record_start(EndpointKey(2), &options(), &budget);
    repeatable.on_attempt_end(Millis(2), Outcome::RanAndFailed, &options(), &budget);
    let after_failure = repeatable.caution(12);

    assert_eq!(first, Caution::Try);
    assert_eq!(after_refusal, Caution::Try);
    assert_eq!(after_failure, Caution::Trust);
    assert_eq!(once.caution(12), Caution::Trust);
}

/// Guards against requests that run at most once being refused for good where a service has few
/// servers: without evidence none of them is trusted, and two attempts are refused by all of them.
#[test]
fn caution_relaxes_sooner_with_few_endpoints() {
    let one = Attempts::new(false, Millis(1000));
    let mut two = Attempts::new(false, Millis(1000));
    let budget = RetryBudget::default();

    two.record_start(EndpointKey(1), &options(), &budget);
    two.on_refusal(Millis(1), RefusedBy::OwnRegion, &options());

    assert_eq!(one.caution(1), Caution::Settle);
    assert_eq!(two.caution(2), Caution::Settle);
    assert_eq!(two.caution(12), Caution::Trust);
}

/// Returns after how many refusals of this kind a request is given up.
fn refusals_until_given_up(by: RefusedBy) -> u32 {
    let (options, budget) = (options(), RetryBudget::default());
    let mut attempts = Attempts::new(true, Millis(1000));
    for n in 1.. {
        attempts.record_start(EndpointKey(u64::from(n)), &options, &budget);
        if attempts.on_refusal(Millis(1), by, &options) != NextStep::Retry {
            return n;
        }
    }
    unreachable!()
}

/// Guards against a request that no gate could claim and that is sent once more shortly before its
/// deadline: a certain "not run" became "unknown" when that attempt was late.
#[test]
fn a_claim_that_took_more_than_the_time_left_is_not_tried_again() {
    let (options, budget) = (options(), RetryBudget::default());
    let after_refusal = |mut attempts: Attempts, now: u64, after: u64| {
        let after = Duration::from_millis(after);
        attempts.record_start(EndpointKey(1), &options, &budget);
        attempts.on_refusal(Millis(now), RefusedBy::Ledger { after }, &options)
    };
    let once = || Attempts::new(false, Millis(3000));
    let call = || Attempts::for_call(false, Millis(3000));
    let given_up = NextStep::Return(Outcome::RefusedNotRun);

    assert_eq!(after_refusal(once(), 1250, 1250), NextStep::Retry);
    assert_eq!(after_refusal(once(), 2510, 1250), given_up);
    assert_eq!(after_refusal(once(), 2510, 10), NextStep::Retry);
    assert_eq!(after_refusal(call(), 1250, 1250), NextStep::Retry);
    assert_eq!(after_refusal(call(), 2510, 1250), given_up);
}

/// Guards against overloads in which each request visits gates of other regions, over links that
/// are billed by volume, or asks for retries that the service does not have.
#[test]
fn refusals_by_other_regions_or_the_budget_end_retries_sooner() {
    let near = refusals_until_given_up(RefusedBy::OwnRegion);
    let far = refusals_until_given_up(RefusedBy::OtherRegion);
    let budget = refusals_until_given_up(RefusedBy::RetryBudget);

    assert_eq!((near, far, budget), (7, 4, 3));
}
