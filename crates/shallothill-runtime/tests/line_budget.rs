//! The rate limit of log lines for each callsite.

use shallothill_runtime::logs::LogRateLimiter;
use tracing::Metadata;
use tracing::callsite::{Callsite, Identifier};
use tracing::subscriber::Interest;

// Callsites are compared by address; a zero-sized type would not guarantee distinct ones.
struct TestCallsite(u8);

impl Callsite for TestCallsite {
    fn set_interest(&self, _: Interest) {
        assert!(self.0 > 0);
    }

    fn metadata(&self) -> &Metadata<'_> {
        unreachable!("the rate limiter uses only the identity of a callsite")
    }
}

static REQUESTS: TestCallsite = TestCallsite(1);
static ELECTIONS: TestCallsite = TestCallsite(2);

fn requests() -> Identifier {
    Identifier(&REQUESTS)
}

/// Guards against logs whose size grows with the load, and against drops that are not counted.
#[test]
fn lines_above_the_limit_are_dropped_and_counted() {
    let limiter = LogRateLimiter::new(3);

    let first: Vec<bool> = (0..5)
        .map(|_| limiter.try_acquire_at(7, requests(), "requests"))
        .collect();
    let later = limiter.try_acquire_at(8, requests(), "requests");

    assert_eq!(first, [true, true, true, false, false]);
    assert!(later);
    assert_eq!(limiter.take_dropped(), [("requests", 2)]);
    assert!(limiter.take_dropped().is_empty());
}

/// Guards against a frequent line whose rate limit suppresses a rare one.
#[test]
fn each_callsite_has_its_own_limit() {
    let limiter = LogRateLimiter::new(1);
    limiter.try_acquire_at(1, requests(), "requests");
    limiter.try_acquire_at(1, requests(), "requests");

    assert!(limiter.try_acquire_at(1, Identifier(&ELECTIONS), "elections"));
}
