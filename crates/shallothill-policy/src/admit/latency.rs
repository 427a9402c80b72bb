//! Latency estimates per request kind at one backend server.

use std::collections::BTreeMap;
use std::time::Duration;

use shallothill_core::time::Millis;

use crate::admit::request::RequestKind;

/// `MAX_KINDS` bounds the kinds that are tracked; the least recently active one is evicted first.
const MAX_KINDS: usize = 256;

/// `ESTIMATE_VALID_FOR` is the time without activity after which an estimate lets one request of
/// its kind through as a trial. Without it, an estimate that refuses all requests of its kind would
/// never be corrected.
const ESTIMATE_VALID_FOR: Duration = Duration::from_secs(2);

/// `MEAN_WEIGHT` is the weight of one sample in the moving average over all kinds, which adapts to
/// a change within about twenty responses.
const MEAN_WEIGHT: f64 = 1.0 / 16.0;

/// `KIND_WEIGHT` is the weight of one sample in the moving average of its kind. It is larger than
/// `MEAN_WEIGHT` because each kind has fewer samples.
const KIND_WEIGHT: f64 = 1.0 / 8.0;

#[derive(Clone, Copy, Debug)]
struct KindEstimate {
    latency_us: f64,
    /// When a request of the kind was last admitted or completed.
    last_active: Millis,
    answered: bool,
}

/// `LatencyEstimates` tracks the latency of successful responses, over all kinds and for each kind.
#[derive(Clone, Debug)]
pub(crate) struct LatencyEstimates {
    expected_us: f64,
    mean_us: f64,
    kinds: BTreeMap<RequestKind, KindEstimate>,
}

impl LatencyEstimates {
    pub(crate) fn new(expected: Duration) -> Self {
        let expected_us = expected.as_micros() as f64;
        Self {
            expected_us,
            mean_us: expected_us,
            kinds: BTreeMap::new(),
        }
    }

    /// Sets the configured latency, which is assumed for kinds without an estimate.
    pub(crate) fn set_expected(&mut self, expected: Duration) {
        self.expected_us = expected.as_micros() as f64;
    }

    /// Returns the average over all kinds, which determines how fast slots become free.
    pub(crate) fn mean(&self) -> Duration {
        Duration::from_micros(self.mean_us as u64)
    }

    /// Returns the expected latency of a request of `kind`.
    pub(crate) fn expected(&self, kind: RequestKind) -> Duration {
        let us = self
            .kinds
            .get(&kind)
            .map_or(self.expected_us, |e| e.latency_us);
        Duration::from_micros(us as u64)
    }

    /// Records the latency of a successful response.
    pub(crate) fn record_served(&mut self, now: Millis, kind: RequestKind, latency: Duration) {
        let us = latency.as_micros() as f64;
        self.mean_us += (us - self.mean_us) * MEAN_WEIGHT;
        self.update_kind(now, kind, us);
    }

    /// Records that a request was abandoned at `age`, a lower bound of its latency.
    pub(crate) fn record_abandoned(&mut self, now: Millis, kind: RequestKind, age: Duration) {
        if age > self.expected(kind) {
            self.update_kind(now, kind, age.as_micros() as f64);
        }
    }

    /// Returns whether a request of `kind` may run as a trial although the estimate refuses it.
    pub(crate) fn is_trial_due(&self, now: Millis, kind: RequestKind) -> bool {
        let last_active = self.kinds.get(&kind).map(|e| e.last_active);
        last_active
            .is_none_or(|last_active| now.saturating_since(last_active) >= ESTIMATE_VALID_FOR)
    }

    /// Records that a request of `kind` was admitted; its completion will update the estimate.
    pub(crate) fn record_admitted(&mut self, now: Millis, kind: RequestKind) {
        let expected_us = self.expected_us;
        match self.kinds.get_mut(&kind) {
            Some(estimate) => estimate.last_active = now,
            None => self.insert(now, kind, expected_us),
        }
    }

    fn update_kind(&mut self, now: Millis, kind: RequestKind, latency_us: f64) {
        match self.kinds.get_mut(&kind) {
            Some(estimate) => {
                let weight = if estimate.answered { KIND_WEIGHT } else { 1.0 };
                estimate.latency_us += (latency_us - estimate.latency_us) * weight;
                estimate.answered = true;
                estimate.last_active = now;
            }
            // The kind was evicted while the request ran.
            None => self.insert(now, kind, latency_us),
        }
    }

    fn insert(&mut self, last_active: Millis, kind: RequestKind, latency_us: f64) {
        if self.kinds.len() >= MAX_KINDS {
            let oldest = self.kinds.iter().min_by_key(|(_, e)| e.last_active);
            if let Some(oldest) = oldest.map(|(kind, _)| *kind) {
                self.kinds.remove(&oldest);
            }
        }
        let answered = false;
        self.kinds.insert(
            kind,
            KindEstimate {
                latency_us,
                last_active,
                answered,
            },
        );
    }
}
