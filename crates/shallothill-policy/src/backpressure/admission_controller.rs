//! The share of new requests of one route that an entry node admits.

use std::time::Duration;

use shallothill_core::time::Millis;

/// `LONG_WAIT` is the sum of pauses after which a call shows a shortage, a fifth of the usual timeout
/// of a call. Waits are seen earlier and more often than refusals, so that few calls need to fail.
pub const LONG_WAIT: Duration = Duration::from_millis(400);

/// `DECREASE` is the factor on the admitted share for each request whose calls lacked capacity. A
/// node sees few requests of a route, so that a single one must count.
const DECREASE: f64 = 0.8;

/// `INCREASE_PER_S` is added to the admitted share each second, so that a node admits everything
/// again half a minute after a long shortage. A faster increase is undone by the next failure.
const INCREASE_PER_S: f64 = 0.03;

/// `MIN_SHARE` keeps some requests running, without which the end of a shortage is not noticed.
const MIN_SHARE: f64 = 0.1;

/// `MIN_RETRY_AFTER` is the time after which a refused request of rank 0 may return when nearly all
/// are admitted, before the jitter.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// `MAX_RETRY_AFTER` is the same when none is admitted. Requests have 5 to 15 s.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);

/// `AdmissionController` limits the new requests of one route at one entry node while calls that
/// backend servers make for them lack capacity: the admitted share decreases by a factor with each
/// such request, and increases with time.
///
/// A request that is refused here costs nothing, while one whose call is refused has already taken
/// a slot.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionController {
    share: f64,
    updated: Millis,
}

impl AdmissionController {
    /// `new` creates a controller that admits every request.
    pub fn new(now: Millis) -> Self {
        Self {
            share: 1.0,
            updated: now,
        }
    }

    /// `record_shortage` records a request of which a call waited long or was refused.
    pub fn record_shortage(&mut self, now: Millis) {
        self.share = (self.share(now) * DECREASE).max(MIN_SHARE);
        self.updated = now;
    }

    /// `share` returns the share of the least urgent requests that is admitted.
    pub fn share(&self, now: Millis) -> f64 {
        let elapsed_s = now.saturating_since(self.updated).as_secs_f64();
        (self.share + elapsed_s * INCREASE_PER_S).min(1.0)
    }

    /// `admit` decides on a new request of `rank`; `draw` and `jitter` are random numbers below 1.
    /// A refused request may return after the time in the error. More urgent ranks are refused
    /// later: those of rank 0 once the share is below a half.
    pub fn admit(&self, now: Millis, rank: u8, draw: f64, jitter: f64) -> Result<(), Duration> {
        let share = self.share(now);
        let admitted = share * (1.0 + 1.0 / (1.0 + f64::from(rank)));
        if share >= 1.0 || draw < admitted {
            return Ok(());
        }
        // The fewer requests are admitted, the fewer may return.
        let wait = MIN_RETRY_AFTER + (MAX_RETRY_AFTER - MIN_RETRY_AFTER).mul_f64(1.0 - share);
        let later = 1.0 + f64::from(rank.min(8)) / 8.0;
        Err(wait.mul_f64(later * (0.5 + jitter)))
    }

    /// `is_idle` tells whether every request is admitted again.
    pub fn is_idle(&self, now: Millis) -> bool {
        self.share(now) >= 1.0
    }
}
