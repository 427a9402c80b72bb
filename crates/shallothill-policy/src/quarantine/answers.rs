//! Fingerprints of requests that were answered.

use std::collections::{BTreeSet, HashMap};

use shallothill_core::hash::Fingerprint;
use shallothill_core::time::Millis;

/// `Answers` holds the time of the last answer of each fingerprint in bounded memory.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answers {
    last: HashMap<Fingerprint, Millis>,
    by_time: BTreeSet<(Millis, Fingerprint)>,
}

impl Answers {
    /// `insert` notes an answer and drops the oldest beyond `most`.
    pub(crate) fn insert(&mut self, now: Millis, fingerprint: Fingerprint, most: usize) {
        if let Some(before) = self.last.insert(fingerprint, now) {
            self.by_time.remove(&(before, fingerprint));
        }
        self.by_time.insert((now, fingerprint));
        if self.last.len() > most
            && let Some((_, oldest)) = self.by_time.pop_first()
        {
            self.last.remove(&oldest);
        }
    }

    /// `last` returns the time of the last answer.
    pub(crate) fn last(&self, fingerprint: Fingerprint) -> Option<Millis> {
        self.last.get(&fingerprint).copied()
    }
}
