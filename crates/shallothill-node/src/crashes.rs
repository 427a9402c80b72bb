//! Tracks requests that crash backend servers, from crashes at this node and from crash notices.

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

/// `MAX_NOTICES` bounds the unreported notices; beyond it the oldest are dropped.
const MAX_NOTICES: usize = 1000;

/// `QuarantinePermit` permits an attempt to run. After the first crash of a fingerprint its permit
/// is exclusive; dropping an exclusive permit lets the next attempt run.
#[derive(Debug)]
pub struct QuarantinePermit {
    crashes: Arc<CrashTracker>,
    fingerprint: Fingerprint,
    exclusive: bool,
}

impl QuarantinePermit {
    /// `record_answer` records that the attempt was answered completely, without a crash.
    pub fn record_answer(&self, now: Millis) {
        self.crashes
            .quarantine()
            .record_answer(now, self.fingerprint);
    }
}

impl Drop for QuarantinePermit {
    fn drop(&mut self) {
        if self.exclusive {
            self.crashes
                .quarantine()
                .release_exclusive(self.fingerprint);
        }
    }
}

/// `CrashTracker` holds the quarantine and the crash notices that keepers have not acknowledged.
#[derive(Debug)]
pub struct CrashTracker {
    quarantine: Mutex<Quarantine>,
    notices: Mutex<VecDeque<(Millis, CrashNotice)>>,
    changed: Arc<Notify>,
}

impl CrashTracker {
    /// `new` builds a tracker without crashes; `changed` is notified when there is a notice to
    /// report.
    pub fn new(options: QuarantineOptions, changed: Arc<Notify>) -> Self {
        Self {
            quarantine: Mutex::new(Quarantine::new(options)),
            notices: Mutex::new(VecDeque::new()),
            changed,
        }
    }

    /// `request_permit` decides whether an attempt with this fingerprint may run.
    ///
    /// Fails with the time after which the request may be sent again.
    pub fn request_permit(
        self: &Arc<Self>,
        now: Millis,
        fingerprint: Fingerprint,
    ) -> Result<QuarantinePermit, Duration> {
        let exclusive = match self.quarantine().admit(now, fingerprint) {
            QuarantineDecision::Unrestricted => false,
            QuarantineDecision::Exclusive => true,
            QuarantineDecision::Busy => return Err(Duration::from_secs(1)),
            QuarantineDecision::Quarantined(left) => return Err(left),
        };
        Ok(QuarantinePermit {
            crashes: Arc::clone(self),
            fingerprint,
            exclusive,
        })
    }

    /// `record_local_crash` records a crash at this node and queues its notice for the keepers.
    pub fn record_local_crash(&self, now: Millis, notice: CrashNotice) {
        if !self.record_crash(now, &notice) {
            return;
        }
        let mut notices = self.notices.lock().unwrap_or_else(PoisonError::into_inner);
        if notices.len() >= MAX_NOTICES {
            notices.pop_front();
        }
        notices.push_back((now, notice));
        drop(notices);
        self.changed.notify_one();
    }

    /// `record_crash` records the crash in a notice, also from another node; returns whether it was
    /// new.
    pub fn record_crash(&self, now: Millis, notice: &CrashNotice) -> bool {
        let crash = CrashId {
            endpoint: EndpointKey::of(&notice.endpoint),
            crash: notice.crash,
        };
        let age = Duration::from_millis(notice.age_ms);
        self.quarantine()
            .record_crash(now, notice.fingerprint, crash, age)
    }

    /// `withhold_time` returns how long to delay a failure or refusal of a request with this
    /// fingerprint, so that other nodes learn of the crash before the caller can send it to them.
    pub fn withhold_time(&self, now: Millis, fingerprint: Fingerprint) -> Duration {
        self.quarantine().withhold_time(now, fingerprint)
    }

    /// `unreported_notices` returns the notices that no keeper has acknowledged, with their current
    /// ages.
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

    /// `drop_reported` drops the `n` oldest notices after a keeper has acknowledged them.
    pub fn drop_reported(&self, n: usize) {
        let mut notices = self.notices.lock().unwrap_or_else(PoisonError::into_inner);
        let n = n.min(notices.len());
        notices.drain(..n);
    }

    /// `quarantine_entries` returns the fingerprints with crashes, for the state dump.
    pub fn quarantine_entries(&self) -> Vec<FingerprintStatus> {
        self.quarantine().list()
    }

    fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
