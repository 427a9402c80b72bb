//! Fingerprints of requests that were in flight when a backend server crashed.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use shallothill_core::hash::Fingerprint;
use shallothill_core::time::Millis;

use crate::pick::EndpointKey;
use crate::quarantine::answer_times::AnswerTimes;
use crate::quarantine::options::QuarantineOptions;

/// `CrashId` identifies one crash of one backend server, so that repeated notices of it count once.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CrashId {
    /// The backend server.
    pub endpoint: EndpointKey,
    /// The number that its gate assigned to the crash.
    pub crash: u64,
}

/// `QuarantineDecision` is the decision on an attempt of a fingerprint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineDecision {
    /// No crash is known, or the fingerprint was answered recently; any number of attempts may run
    /// and nothing has to be released.
    Unrestricted,
    /// The attempt is the only one that may run, until [`Quarantine::release_exclusive`].
    Exclusive,
    /// Another attempt of the fingerprint runs exclusively: refuse this one before it runs.
    Busy,
    /// The fingerprint is quarantined for this time: refuse the attempt before it runs.
    Quarantined(Duration),
}

/// `FingerprintStatus` describes a fingerprint with crashes for the state dump.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FingerprintStatus {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// Crashes counted so far.
    pub crashes: u32,
    /// When the fingerprint is released without another crash.
    pub released_at: Millis,
}

#[derive(Clone, Debug)]
struct Entry {
    crashes: BTreeSet<CrashId>,
    last_crash: Millis,
    last_counted: Millis,
    exclusive_running: bool,
}

/// `Quarantine` tracks the fingerprints of requests that were in flight at crashes, in bounded
/// memory.
#[derive(Clone, Debug)]
pub struct Quarantine {
    options: QuarantineOptions,
    answers: AnswerTimes,
    entries: HashMap<Fingerprint, Entry>,
    by_last_crash: BTreeMap<(Millis, Fingerprint), ()>,
}

impl Quarantine {
    /// `new` creates a quarantine without fingerprints.
    pub fn new(options: QuarantineOptions) -> Self {
        Self {
            options,
            answers: AnswerTimes::default(),
            entries: HashMap::new(),
            by_last_crash: BTreeMap::new(),
        }
    }

    /// `admit` decides whether an attempt may run. An exclusive attempt has to be released.
    pub fn admit(&mut self, now: Millis, fingerprint: Fingerprint) -> QuarantineDecision {
        self.expire(now);
        let answered = self.answered_recently(now, fingerprint);
        let limit = self.limit(answered);
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return QuarantineDecision::Unrestricted;
        };
        if entry.crashes.len() >= limit {
            let pause = if answered {
                self.options.pause_answered
            } else {
                self.options.release_after
            };
            let left = (entry.last_crash + pause).saturating_since(now);
            if !left.is_zero() {
                return QuarantineDecision::Quarantined(left);
            }
        } else if answered {
            // Running one attempt at a time would refuse most copies of a popular request.
            return QuarantineDecision::Unrestricted;
        }
        if entry.exclusive_running {
            return QuarantineDecision::Busy;
        }
        entry.exclusive_running = true;
        QuarantineDecision::Exclusive
    }

    /// `release_exclusive` releases an attempt that was admitted as
    /// [`QuarantineDecision::Exclusive`].
    pub fn release_exclusive(&mut self, fingerprint: Fingerprint) {
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.exclusive_running = false;
        }
    }

    /// `record_answer` records that a backend server answered an attempt in full and did not crash.
    /// It clears the crashes of the fingerprint, which ends its quarantine.
    pub fn record_answer(&mut self, now: Millis, fingerprint: Fingerprint) {
        self.answers
            .insert(now, fingerprint, self.options.max_fingerprints);
        if let Some(entry) = self.entries.remove(&fingerprint) {
            self.by_last_crash.remove(&(entry.last_crash, fingerprint));
        }
    }

    /// `record_crash` counts a crash that happened `age` before `now`; returns whether it was new.
    /// A crash before the last response to the fingerprint is already cleared and does not count.
    pub fn record_crash(
        &mut self,
        now: Millis,
        fingerprint: Fingerprint,
        crash: CrashId,
        age: Duration,
    ) -> bool {
        if age >= self.options.release_after {
            return false;
        }
        self.expire(now);
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let at = Millis(now.0.saturating_sub(age_ms));
        if self.answers.last(fingerprint).is_some_and(|t| at < t) {
            return false;
        }
        let answered = self.answered_recently(now, fingerprint);
        let limit = self.limit(answered);
        let entry = self.entries.entry(fingerprint).or_insert_with(|| Entry {
            crashes: BTreeSet::new(),
            last_crash: at,
            last_counted: now,
            exclusive_running: false,
        });
        // Each crash after a pause counts as new, so that other nodes start the pause again.
        if answered && entry.crashes.len() >= limit && !entry.crashes.contains(&crash) {
            entry.crashes.pop_first();
        }
        // Crashes beyond the limit have no effect, so they are not stored.
        let has_room = entry.crashes.len() < limit.max(1);
        let new = has_room && entry.crashes.insert(crash);
        if new {
            entry.last_counted = now;
        }
        self.by_last_crash.remove(&(entry.last_crash, fingerprint));
        entry.last_crash = entry.last_crash.max(at);
        self.by_last_crash
            .insert((entry.last_crash, fingerprint), ());
        if self.entries.len() > self.options.max_fingerprints
            && let Some(((_, oldest), ())) = self.by_last_crash.pop_first()
        {
            self.entries.remove(&oldest);
        }
        new
    }

    /// `withhold_time` returns how long a failure or refusal of the fingerprint has to be delayed,
    /// so that every node learns of its last crash before the caller can send it there. It is zero
    /// without a crash.
    pub fn withhold_time(&self, now: Millis, fingerprint: Fingerprint) -> Duration {
        let left =
            |e: &Entry| (e.last_counted + self.options.withhold_failure_for).saturating_since(now);
        self.entries.get(&fingerprint).map_or(Duration::ZERO, left)
    }

    /// `list` returns the fingerprints with crashes, ordered by their last crash, oldest first.
    pub fn list(&self) -> Vec<FingerprintStatus> {
        let known = |fingerprint: &Fingerprint| {
            let entry = self.entries.get(fingerprint)?;
            Some(FingerprintStatus {
                fingerprint: *fingerprint,
                crashes: u32::try_from(entry.crashes.len()).unwrap_or(u32::MAX),
                released_at: entry.last_crash + self.options.release_after,
            })
        };
        self.by_last_crash
            .keys()
            .filter_map(|(_, f)| known(f))
            .collect()
    }

    fn answered_recently(&self, now: Millis, fingerprint: Fingerprint) -> bool {
        let last = self.answers.last(fingerprint);
        last.is_some_and(|t| now.saturating_since(t) < self.options.release_after)
    }

    fn limit(&self, answered: bool) -> usize {
        let limit = if answered {
            self.options.crash_limit_answered
        } else {
            self.options.crash_limit
        };
        limit as usize
    }

    fn expire(&mut self, now: Millis) {
        while let Some(((last, fingerprint), ())) = self.by_last_crash.first_key_value() {
            if now.saturating_since(*last) < self.options.release_after {
                return;
            }
            self.entries.remove(fingerprint);
            self.by_last_crash.pop_first();
        }
    }
}
