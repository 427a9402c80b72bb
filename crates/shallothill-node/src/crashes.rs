//! Requests that crash backend servers, as this node knows them.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use shallothill_core::hash::Fingerprint;
use shallothill_core::time::Millis;
use shallothill_policy::pick::EndpointKey;
use shallothill_policy::quarantine::{
    CrashId, FingerprintStatus, Quarantine, QuarantineDecision, QuarantineOptions,
};
use shallothill_wire::crash::CrashNotice;
use tokio::sync::Notify;

/// `NOTICES_MAX` bounds the notices that wait for a report; the oldest are dropped.
const NOTICES_MAX: usize = 1000;

/// `QuarantinePermit` is the right of an attempt to run. When the fingerprint has one crash, it is the only
/// one, and dropping it gives it back.
#[derive(Debug)]
pub struct QuarantinePermit {
    crashes: Arc<CrashTracker>,
    fingerprint: Fingerprint,
    single: bool,
}

impl QuarantinePermit {
    /// `record_answer` notes that the attempt was answered in full.
    pub fn record_answer(&self, now: Millis) {
        self.crashes
            .quarantine()
            .record_answer(now, self.fingerprint);
    }
}

impl Drop for QuarantinePermit {
    fn drop(&mut self) {
        if self.single {
            self.crashes
                .quarantine()
                .release_exclusive(self.fingerprint);
        }
    }
}

/// `CrashTracker` holds the quarantine and the notices for the keepers.
#[derive(Debug)]
pub struct CrashTracker {
    quarantine: Mutex<Quarantine>,
    notices: Mutex<VecDeque<(Millis, CrashNotice)>>,
    changed: Arc<Notify>,
}

impl CrashTracker {
    /// `new` builds an empty quarantine; `changed` is woken when there is something to report.
    pub fn new(options: QuarantineOptions, changed: Arc<Notify>) -> Self {
        Self {
            quarantine: Mutex::new(Quarantine::new(options)),
            notices: Mutex::new(VecDeque::new()),
            changed,
        }
    }

    /// `request_permit` asks whether an attempt may run; a refusal tells when to send it again.
    pub fn request_permit(
        self: &Arc<Self>,
        now: Millis,
        fingerprint: Fingerprint,
    ) -> Result<QuarantinePermit, Duration> {
        let single = match self.quarantine().admit(now, fingerprint) {
            QuarantineDecision::Unrestricted => false,
            QuarantineDecision::Exclusive => true,
            QuarantineDecision::Busy => return Err(Duration::from_secs(1)),
            QuarantineDecision::Quarantined(left) => return Err(left),
        };
        Ok(QuarantinePermit {
            crashes: Arc::clone(self),
            fingerprint,
            single,
        })
    }

    /// `record_local_crash` counts a crash that this node saw, and reports it.
    pub fn record_local_crash(&self, now: Millis, notice: CrashNotice) {
        if !self.record_crash(now, &notice) {
            return;
        }
        let mut notices = self.notices.lock().unwrap_or_else(PoisonError::into_inner);
        if notices.len() >= NOTICES_MAX {
            notices.pop_front();
        }
        notices.push_back((now, notice));
        drop(notices);
        self.changed.notify_one();
    }

    /// `record_crash` counts a crash that another node saw; returns whether it was new.
    pub fn record_crash(&self, now: Millis, notice: &CrashNotice) -> bool {
        let crash = CrashId {
            endpoint: EndpointKey::of(&notice.endpoint),
            crash: notice.crash,
        };
        let age = Duration::from_millis(notice.age_ms);
        self.quarantine()
            .record_crash(now, notice.fingerprint, crash, age)
    }

    /// `withhold_time` returns how long a failure or refusal of the fingerprint is still withheld.
    pub fn withhold_time(&self, now: Millis, fingerprint: Fingerprint) -> Duration {
        self.quarantine().withhold_time(now, fingerprint)
    }

    /// `unreported_notices` returns the notices that no keeper has acknowledged, with their ages.
    pub fn unreported_notices(&self, now: Millis) -> Vec<CrashNotice> {
        let notices = self.notices.lock().unwrap_or_else(PoisonError::into_inner);
        let aged = notices.iter().map(|(at, notice)| {
            let age = now.saturating_since(*at).as_millis();
            CrashNotice {
                age_ms: u64::try_from(age).unwrap_or(u64::MAX),
                ..notice.clone()
            }
        });
        aged.collect()
    }

    /// `drop_reported` drops the first `n` notices.
    pub fn drop_reported(&self, n: usize) {
        let mut notices = self.notices.lock().unwrap_or_else(PoisonError::into_inner);
        let n = n.min(notices.len());
        notices.drain(..n);
    }

    /// `quarantine_entries` returns the known fingerprints.
    pub fn quarantine_entries(&self) -> Vec<FingerprintStatus> {
        self.quarantine().list()
    }

    fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
