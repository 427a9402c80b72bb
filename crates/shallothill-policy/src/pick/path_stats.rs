//! An entry node's record of failures on the path to another node.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use shallothill_core::time::Millis;

// The first penalty covers a reconnect. It doubles at most `MAX_DOUBLINGS` times, which bounds how
// long a repaired link stays unused.
const FIRST_PENALTY: Duration = Duration::from_millis(250);
const MAX_DOUBLINGS: u32 = 5;

// Probes in the background cost no request, so they stay more frequent.
const MAX_PROBE_DOUBLINGS: u32 = 2;

/// `PathStats` penalises a path on which requests fail without a reply of the gate.
///
/// It only affects what this entry node picks; the health of the backend server is unaffected.
#[derive(Debug, Default)]
pub struct PathStats {
    failures: AtomicU32,
    /// When the last failure was counted, plus 1.
    counted_at_plus_one: AtomicU64,
    penalised_until: AtomicU64,
    /// Whether the path is avoided until a background probe has an answer.
    probing: AtomicBool,
}

impl PathStats {
    /// `record_failure` records a connect error, a broken connection or a gate that did not reply
    /// in time, for a request that was sent at `sent_at`. Requests that were under way at a failure
    /// fail for the same reason and don't count again.
    pub fn record_failure(&self, now: Millis, sent_at: Millis) {
        let counted = self.counted_at_plus_one.load(Ordering::Relaxed);
        if sent_at.0 < counted {
            return;
        }
        self.counted_at_plus_one.store(now.0 + 1, Ordering::Relaxed);
        let before = self.failures.fetch_add(1, Ordering::Relaxed);
        let penalty = FIRST_PENALTY * 2u32.pow(before.min(MAX_DOUBLINGS));
        self.penalised_until
            .fetch_max((now + penalty).0, Ordering::Relaxed);
    }

    /// `start_probing` avoids the path until [`Self::stop_probing`] or a success, so that no request
    /// has to find out whether it works again. It returns `false` if that has been started already.
    pub fn start_probing(&self) -> bool {
        !self.probing.swap(true, Ordering::Relaxed)
    }

    /// `stop_probing` lets requests use the path again, subject to its penalty.
    pub fn stop_probing(&self) {
        self.probing.store(false, Ordering::Relaxed);
    }

    /// `probe_pause` returns the time to wait before the next background probe.
    pub fn probe_pause(&self) -> Duration {
        let failures = self.failures.load(Ordering::Relaxed);
        FIRST_PENALTY * 2u32.pow(failures.saturating_sub(1).min(MAX_PROBE_DOUBLINGS))
    }

    /// `record_success` clears the penalty; any reply of the gate counts, including a refusal.
    pub fn record_success(&self) {
        if self.probing.load(Ordering::Relaxed) {
            self.stop_probing();
        }
        if self.failures.load(Ordering::Relaxed) != 0 {
            self.failures.store(0, Ordering::Relaxed);
            self.penalised_until.store(0, Ordering::Relaxed);
        }
    }

    /// `is_penalised` returns whether the path is to be avoided at `now`.
    pub fn is_penalised(&self, now: Millis) -> bool {
        self.probing.load(Ordering::Relaxed) || now.0 < self.penalised_until.load(Ordering::Relaxed)
    }

    /// `claim_probe` returns whether a request may use the path: always if it has no failures,
    /// otherwise once after each penalty.
    pub fn claim_probe(&self, now: Millis) -> bool {
        let failures = self.failures.load(Ordering::Relaxed);
        if failures == 0 {
            return true;
        }
        let until = self.penalised_until.load(Ordering::Relaxed);
        let next = now + FIRST_PENALTY * 2u32.pow((failures - 1).min(MAX_DOUBLINGS));
        now.0 >= until
            && self
                .penalised_until
                .compare_exchange(until, next.0, Ordering::Relaxed, Ordering::Relaxed)
                .is_ok()
    }
}
