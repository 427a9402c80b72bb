//! Whether this keeper is cut off from the primary of the config log: a pure decision.

use std::time::Duration;

use shallothill_core::time::Millis;

/// `ISOLATED_AFTER` is longer than the messages of an election take. With the step-down of a primary that
/// is cut off, the longest election timeout, and the look of the nodes, it stays under the 3 s after a cut
/// from which every node acts on what was accepted.
const ISOLATED_AFTER: Duration = Duration::from_millis(200);

/// `Isolation` notes since when no primary is known.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Isolation {
    since: Option<Millis>,
    isolated: bool,
}

impl Isolation {
    /// `note` takes whether no primary is known now; returns whether that changed the answer of
    /// [`Self::is_isolated`].
    pub fn note(&mut self, now: Millis, alone: bool) -> bool {
        let before = self.isolated;
        self.since = alone.then(|| self.since.unwrap_or(now));
        let long = |since: Millis| now.saturating_since(since) >= ISOLATED_AFTER;
        self.isolated = self.since.is_some_and(long);
        self.isolated != before
    }

    /// `is_isolated` tells whether no primary was known for a while, so that accepted versions may be
    /// missing here.
    pub fn is_isolated(&self) -> bool {
        self.isolated
    }
}
