//! Duration of a suspicion across the periods in which it is lifted.

use std::time::Duration;

use shallothill_core::time::Millis;

// The hold time doubles at most this often, to about five seconds at typical latencies.
const MAX_DOUBLINGS: u32 = 5;
// A fault that returns within this time after the suspicion was lifted is the same fault.
const RELAPSE_WITHIN: Duration = Duration::from_secs(3);

/// `Suspicion` lasts from the first evidence above the threshold until the server has been healthy
/// for some seconds. In between it is lifted whenever bad requests stop; each time it is held
/// longer before it is lifted.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Suspicion {
    began_at: Option<Millis>,
    last_bad: Millis,
    lifted_at: Option<Millis>,
    lift_count: u32,
}

impl Suspicion {
    pub(crate) fn record_bad(&mut self, now: Millis) {
        self.last_bad = now;
    }

    /// Starts or resumes the suspicion and returns when it began.
    pub(crate) fn start_or_resume(&mut self, now: Millis) -> Millis {
        self.lifted_at = None;
        *self.began_at.get_or_insert(now)
    }

    /// Returns when the suspicion began, or `None` if there is none or it is lifted.
    pub(crate) fn active_since(&self) -> Option<Millis> {
        self.began_at.filter(|_| self.lifted_at.is_none())
    }

    /// Returns whether the evidence is recent: a request hangs now, or one was bad within the hold
    /// time.
    pub(crate) fn is_current(&self, now: Millis, slow_threshold: Duration, hanging: bool) -> bool {
        hanging || now.saturating_since(self.last_bad) <= self.hold_time(slow_threshold)
    }

    /// Lifts the suspicion until the next bad request.
    pub(crate) fn lift(&mut self, now: Millis, slow_threshold: Duration) {
        // The hold time of this lift extends the time in which a returning fault is the same one.
        self.lifted_at = Some(now + self.hold_time(slow_threshold));
        self.lift_count += 1;
    }

    /// Ends the suspicion once the server has been healthy for `RELAPSE_WITHIN`.
    pub(crate) fn expire(&mut self, now: Millis) {
        let healthy_since = *self.lifted_at.get_or_insert(now);
        if self.began_at.is_some() && now.saturating_since(healthy_since) > RELAPSE_WITHIN {
            *self = Self {
                last_bad: self.last_bad,
                ..Self::default()
            };
        }
    }

    fn hold_time(&self, slow_threshold: Duration) -> Duration {
        slow_threshold * (1 << self.lift_count.min(MAX_DOUBLINGS))
    }
}
