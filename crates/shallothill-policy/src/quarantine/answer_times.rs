//! Fingerprints of requests that were answered.

use std::collections::{BTreeSet, HashMap};

use shallothill_core::hash::Fingerprint;
use shallothill_core::time::Millis;

/// `AnswerTimes` holds the time of the last response to each fingerprint in bounded memory.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnswerTimes {
    last: HashMap<Fingerprint, Millis>,
    by_time: BTreeSet<(Millis, Fingerprint)>,
}

impl AnswerTimes {
    /// Records a response and evicts the oldest entry beyond `max_entries`.
    pub(crate) fn insert(&mut self, now: Millis, fingerprint: Fingerprint, max_entries: usize) {
        if let Some(before) = self.last.insert(fingerprint, now) {
            self.by_time.remove(&(before, fingerprint));
        }
        self.by_time.insert((now, fingerprint));
        if self.last.len() > max_entries
            && let Some((_, oldest)) = self.by_time.pop_first()
        {
            self.last.remove(&oldest);
        }
    }

    /// Returns the time of the last response to `fingerprint`.
    pub(crate) fn last(&self, fingerprint: Fingerprint) -> Option<Millis> {
        self.last.get(&fingerprint).copied()
    }
}
