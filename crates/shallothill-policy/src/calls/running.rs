//! The requests that the backend servers of a host run, by the deadline that they were told.

use std::collections::BTreeMap;
use std::time::Duration;

use shallothill_core::time::Millis;

/// `EARLY_TOLERANCE` is how much earlier than the running request a call may seem to end. Both sides
/// round to whole milliseconds.
const EARLY_TOLERANCE: Duration = Duration::from_millis(2);

/// `LATE_TOLERANCE` is how much later than the running request a call may seem to end. The time that
/// the messages from and to the backend server take adds to what the call states as its time left.
const LATE_TOLERANCE: Duration = Duration::from_millis(6);

/// `RunningKey` identifies a request in [`RunningRequests`].
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RunningKey {
    deadline: Millis,
    number: u64,
}

/// `RunningRequests` finds the running request that a call belongs to by the instant at which both
/// end.
///
/// A request of another caller that ends within the tolerance by chance is taken for a call. It then
/// has the rank of the running request, which changes its order only where capacity is short.
#[derive(Clone, Debug)]
pub struct RunningRequests<T> {
    last_number: u64,
    by_deadline: BTreeMap<RunningKey, T>,
}

impl<T> Default for RunningRequests<T> {
    fn default() -> Self {
        Self {
            last_number: 0,
            by_deadline: BTreeMap::new(),
        }
    }
}

impl<T> RunningRequests<T> {
    /// `insert` adds a request whose backend server was told that it ends at `deadline`.
    pub fn insert(&mut self, deadline: Millis, request: T) -> RunningKey {
        self.last_number += 1;
        let key = RunningKey {
            deadline,
            number: self.last_number,
        };
        self.by_deadline.insert(key, request);
        key
    }

    /// `remove` removes a request that has ended.
    pub fn remove(&mut self, key: RunningKey) {
        self.by_deadline.remove(&key);
    }

    /// `find` returns the request that a call which ends at `deadline` belongs to: of those within
    /// the tolerance the one whose own deadline is nearest.
    pub fn find(&self, deadline: Millis) -> Option<&T> {
        let latest = deadline + EARLY_TOLERANCE;
        let earliest = Millis(deadline.0.saturating_sub(LATE_TOLERANCE.as_millis() as u64));
        let bound = |deadline, number| RunningKey { deadline, number };
        let near = self
            .by_deadline
            .range(bound(earliest, 0)..=bound(latest, u64::MAX));
        let nearest = near.min_by_key(|(key, _)| key.deadline.0.abs_diff(deadline.0));
        nearest.map(|(_, request)| request)
    }

    /// `len` returns the number of running requests.
    pub fn len(&self) -> usize {
        self.by_deadline.len()
    }

    /// `is_empty` tells whether no request runs.
    pub fn is_empty(&self) -> bool {
        self.by_deadline.is_empty()
    }
}
