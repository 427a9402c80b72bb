//! How long the requests of each kind take at one backend server.

use std::collections::BTreeMap;
use std::time::Duration;

use shallothill_core::time::Millis;

use crate::admit::request::RequestKind;

/// `KINDS_MAX` bounds the kinds that are followed; the one that was heard of longest ago goes first.
const KINDS_MAX: usize = 256;

/// `HOLDS_FOR` is the time after which an estimate refuses nothing any more until one request of its
/// kind has been tried, so that an estimate that keeps its kind away is corrected.
const HOLDS_FOR: Duration = Duration::from_secs(2);

/// `MEAN_WEIGHT` is the weight of one answer in the mean of all kinds, which follows a change within
/// some twenty answers.
const MEAN_WEIGHT: f64 = 1.0 / 16.0;

/// `KIND_WEIGHT` is the weight of one answer in the estimate of its kind, which has fewer answers.
const KIND_WEIGHT: f64 = 1.0 / 8.0;

#[derive(Clone, Copy, Debug)]
struct Estimate {
    us: f64,
    /// When a request of the kind was last admitted or answered.
    told: Millis,
    answered: bool,
}

/// `Latencies` follows the time of successful answers, over all kinds of request and for each kind.
#[derive(Clone, Debug)]
pub(crate) struct Latencies {
    expected_us: f64,
    mean_us: f64,
    kinds: BTreeMap<RequestKind, Estimate>,
}

impl Latencies {
    pub(crate) fn new(expected: Duration) -> Self {
        let expected_us = expected.as_micros() as f64;
        Self {
            expected_us,
            mean_us: expected_us,
            kinds: BTreeMap::new(),
        }
    }

    /// Takes over the time that operators expect of kinds that are not known yet.
    pub(crate) fn set_expected(&mut self, expected: Duration) {
        self.expected_us = expected.as_micros() as f64;
    }

    /// Returns the mean over all kinds, which tells how fast slots become free.
    pub(crate) fn mean(&self) -> Duration {
        Duration::from_micros(self.mean_us as u64)
    }

    /// Returns the time that a request of `kind` is expected to take.
    pub(crate) fn of(&self, kind: RequestKind) -> Duration {
        let us = self.kinds.get(&kind).map_or(self.expected_us, |e| e.us);
        Duration::from_micros(us as u64)
    }

    /// Takes the time of a successful answer.
    pub(crate) fn served(&mut self, now: Millis, kind: RequestKind, latency: Duration) {
        let us = latency.as_micros() as f64;
        self.mean_us += (us - self.mean_us) * MEAN_WEIGHT;
        self.follow(now, kind, us);
    }

    /// Takes the time after which a request was given up, which its answer would have exceeded.
    pub(crate) fn exceeded(&mut self, now: Millis, kind: RequestKind, age: Duration) {
        if age > self.of(kind) {
            self.follow(now, kind, age.as_micros() as f64);
        }
    }

    /// Tells whether a request of `kind` may be tried although the estimate refuses it.
    pub(crate) fn wants_trial(&self, now: Millis, kind: RequestKind) -> bool {
        let told = self.kinds.get(&kind).map(|e| e.told);
        told.is_none_or(|told| now.saturating_since(told) >= HOLDS_FOR)
    }

    /// Notes that a request of `kind` is admitted and will tell about it.
    pub(crate) fn admitted(&mut self, now: Millis, kind: RequestKind) {
        let expected_us = self.expected_us;
        match self.kinds.get_mut(&kind) {
            Some(estimate) => estimate.told = now,
            None => self.insert(now, kind, expected_us),
        }
    }

    fn follow(&mut self, now: Millis, kind: RequestKind, us: f64) {
        match self.kinds.get_mut(&kind) {
            Some(estimate) => {
                let weight = if estimate.answered { KIND_WEIGHT } else { 1.0 };
                estimate.us += (us - estimate.us) * weight;
                estimate.answered = true;
                estimate.told = now;
            }
            // The kind was dropped while the request ran.
            None => self.insert(now, kind, us),
        }
    }

    fn insert(&mut self, told: Millis, kind: RequestKind, us: f64) {
        if self.kinds.len() >= KINDS_MAX {
            let oldest = self.kinds.iter().min_by_key(|(_, e)| e.told);
            if let Some(oldest) = oldest.map(|(kind, _)| *kind) {
                self.kinds.remove(&oldest);
            }
        }
        let answered = false;
        self.kinds.insert(kind, Estimate { us, told, answered });
    }
}
