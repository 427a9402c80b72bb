//! How long a suspicion has stood, across the short times in which it was lifted.

use std::time::Duration;

use shallothill_core::time::Millis;

// The waits double up to this often, to about five seconds at the usual latencies.
const MOST_DOUBLINGS: u32 = 5;
// A fault that returns this long after a suspicion was lifted is the same fault.
const RELAPSE_WITHIN: Duration = Duration::from_secs(3);

/// `Suspicion` lasts from the first evidence beyond the threshold until the server has been well
/// for some seconds. In between it is lifted for a moment whenever bad requests stop, and each
/// time it takes longer until it is.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Suspicion {
    since: Option<Millis>,
    last_bad: Millis,
    lifted: Option<Millis>,
    lifts: u32,
}

impl Suspicion {
    /// Notes a bad request.
    pub(crate) fn bad(&mut self, now: Millis) {
        self.last_bad = now;
    }

    /// Returns when the suspicion began; it begins now, if it has not.
    pub(crate) fn since(&mut self, now: Millis) -> Millis {
        self.lifted = None;
        *self.since.get_or_insert(now)
    }

    /// Returns when the suspicion began, unless there is none or it is lifted.
    pub(crate) fn began(&self) -> Option<Millis> {
        self.since.filter(|_| self.lifted.is_none())
    }

    /// Tells whether the evidence is recent: a request hangs now, or one was bad lately.
    pub(crate) fn stands(&self, now: Millis, slow_after: Duration, hanging: bool) -> bool {
        hanging || now.saturating_since(self.last_bad) <= self.patience(slow_after)
    }

    /// Lifts the suspicion until the next bad requests.
    pub(crate) fn lift(&mut self, now: Millis, slow_after: Duration) {
        // The patience of this lift counts as part of the time in which a fault may return.
        self.lifted = Some(now + self.patience(slow_after));
        self.lifts += 1;
    }

    /// Forgets the suspicion when the server has been well for long enough.
    pub(crate) fn rest(&mut self, now: Millis) {
        let well_since = *self.lifted.get_or_insert(now);
        if self.since.is_some() && now.saturating_since(well_since) > RELAPSE_WITHIN {
            *self = Self {
                last_bad: self.last_bad,
                ..Self::default()
            };
        }
    }

    fn patience(&self, slow_after: Duration) -> Duration {
        slow_after * (1 << self.lifts.min(MOST_DOUBLINGS))
    }
}
