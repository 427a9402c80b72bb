//! The budget of lines for each kind.

use shallothill_runtime::logs::LogRateLimiter;
use tracing::Metadata;
use tracing::callsite::{Callsite, Identifier};
use tracing::subscriber::Interest;

// Not empty, so that each one has an address of its own.
struct Place(u8);

impl Callsite for Place {
    fn set_interest(&self, _: Interest) {
        assert!(self.0 > 0);
    }

    fn metadata(&self) -> &Metadata<'_> {
        unreachable!("a budget needs the identity only")
    }
}

static REQUESTS: Place = Place(1);
static ELECTIONS: Place = Place(2);

fn requests() -> Identifier {
    Identifier(&REQUESTS)
}

/// Guards against logs that grow with the load, and against drops that nobody learns of.
#[test]
fn lines_over_the_budget_are_dropped_and_counted() {
    let budget = LogRateLimiter::new(3);

    let first: Vec<bool> = (0..5)
        .map(|_| budget.try_acquire_at(7, requests(), "requests"))
        .collect();
    let later = budget.try_acquire_at(8, requests(), "requests");

    assert_eq!(first, [true, true, true, false, false]);
    assert!(later);
    assert_eq!(budget.take_dropped(), [("requests", 2)]);
    assert!(budget.take_dropped().is_empty());
}

/// Guards against a busy kind of line that leaves no room for a rare one.
#[test]
fn each_kind_has_its_own_budget() {
    let budget = LogRateLimiter::new(1);
    budget.try_acquire_at(1, requests(), "requests");
    budget.try_acquire_at(1, requests(), "requests");

    assert!(budget.try_acquire_at(1, Identifier(&ELECTIONS), "elections"));
}
