//! An entry node's evidence on the path to another node.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use shallothill_core::time::Millis;

// The first penalty covers a reconnect; the last one bounds how long a repaired link stays unused.
const FIRST_PENALTY: Duration = Duration::from_millis(250);
const MAX_DOUBLINGS: u32 = 5;

/// `PathStats` penalises a path whose requests fail without the gate seeing them.
///
/// It changes only what this entry node picks; the health of the backend server is untouched.
#[derive(Debug, Default)]
pub struct PathStats {
    failures: AtomicU32,
    until: AtomicU64,
}

impl PathStats {
    /// `failed` records a connect error, a broken connection or a gate that did not reply in time.
    pub fn record_failure(&self, now: Millis) {
        let before = self.failures.fetch_add(1, Ordering::Relaxed);
        let penalty = FIRST_PENALTY * 2u32.pow(before.min(MAX_DOUBLINGS));
        self.until.fetch_max((now + penalty).0, Ordering::Relaxed);
    }

    /// `succeeded` clears the penalty; any reply of the gate counts, also a refusal.
    pub fn record_success(&self) {
        if self.failures.load(Ordering::Relaxed) != 0 {
            self.failures.store(0, Ordering::Relaxed);
            self.until.store(0, Ordering::Relaxed);
        }
    }

    /// `penalised` tells whether the path is to be avoided at `now`.
    pub fn is_penalised(&self, now: Millis) -> bool {
        now.0 < self.until.load(Ordering::Relaxed)
    }

    /// `claim_probe` tells whether a request may use the path: always without failures, and once
    /// for each penalty time that has passed otherwise.
    pub fn claim_probe(&self, now: Millis) -> bool {
        let failures = self.failures.load(Ordering::Relaxed);
        if failures == 0 {
            return true;
        }
        let until = self.until.load(Ordering::Relaxed);
        let next = now + FIRST_PENALTY * 2u32.pow((failures - 1).min(MAX_DOUBLINGS));
        now.0 >= until
            && self
                .until
                .compare_exchange(until, next.0, Ordering::Relaxed, Ordering::Relaxed)
                .is_ok()
    }
}
