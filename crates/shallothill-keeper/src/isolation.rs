//! Detects that this keeper is cut off from the primary of the config log. The decision is pure.

use std::time::Duration;

use shallothill_core::time::Millis;

/// `ISOLATED_AFTER` is the time without a primary after which the keeper is isolated. It is longer
/// than the messages of an election take. Together with the step-down of a primary that is cut off,
/// the longest election timeout and the nodes' interval between checks, it stays under 3 s: that
/// long after a cut, every node acts on the accepted configuration.
const ISOLATED_AFTER: Duration = Duration::from_millis(200);

/// `Isolation` tracks how long no primary has been known.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Isolation {
    since: Option<Millis>,
    isolated: bool,
}

impl Isolation {
    /// `update` records whether a primary is known at `now`. It returns whether
    /// [`Self::is_isolated`] has changed.
    pub fn update(&mut self, now: Millis, no_primary: bool) -> bool {
        let before = self.isolated;
        self.since = no_primary.then(|| self.since.unwrap_or(now));
        let too_long = |since: Millis| now.saturating_since(since) >= ISOLATED_AFTER;
        self.isolated = self.since.is_some_and(too_long);
        self.isolated != before
    }

    /// `is_isolated` tells whether no primary has been known for [`ISOLATED_AFTER`], so that
    /// accepted versions may be missing here.
    pub fn is_isolated(&self) -> bool {
        self.isolated
    }
}
