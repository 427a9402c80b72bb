//! Fingerprints of requests that were in flight at a crash.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use shallothill_core::hash::Fingerprint;
use shallothill_core::time::Millis;

use crate::pick::EndpointKey;
use crate::quarantine::answers::Answers;
use crate::quarantine::options::QuarantineOptions;

/// `CrashId` identifies one crash of one backend server, so that repeated notices count once.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CrashId {
    /// The backend server.
    pub endpoint: EndpointKey,
    /// Its number of the crash.
    pub crash: u64,
}

/// `Entrance` tells whether an attempt of a fingerprint may go on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineDecision {
    /// No crash is known, or the fingerprint was answered recently; nothing is to be given back.
    Unrestricted,
    /// One crash is known; the attempt holds the only place until [`Quarantine::finish`].
    Exclusive,
    /// Another attempt of the fingerprint holds the place: refuse as not run.
    Busy,
    /// The fingerprint is quarantined for this time: refuse as not run.
    Quarantined(Duration),
}

/// `Listed` is a known fingerprint for the dump.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FingerprintStatus {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// Crashes counted.
    pub crashes: u32,
    /// When it is released.
    pub released_at: Millis,
}

#[derive(Clone, Debug)]
struct Entry {
    crashes: BTreeSet<CrashId>,
    last: Millis,
    noted: Millis,
    running: bool,
}

/// `Quarantine` holds crash fingerprints in bounded memory.
#[derive(Clone, Debug)]
pub struct Quarantine {
    options: QuarantineOptions,
    answers: Answers,
    entries: HashMap<Fingerprint, Entry>,
    by_time: BTreeMap<(Millis, Fingerprint), ()>,
}

impl Quarantine {
    /// `new` builds an empty quarantine.
    pub fn new(options: QuarantineOptions) -> Self {
        Self {
            options,
            answers: Answers::default(),
            entries: HashMap::new(),
            by_time: BTreeMap::new(),
        }
    }

    /// `enter` asks whether an attempt may run.
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
            let left = (entry.last + pause).saturating_since(now);
            if !left.is_zero() {
                return QuarantineDecision::Quarantined(left);
            }
        } else if answered {
            // One attempt at a time would refuse most copies of a popular request.
            return QuarantineDecision::Unrestricted;
        }
        if entry.running {
            return QuarantineDecision::Busy;
        }
        entry.running = true;
        QuarantineDecision::Exclusive
    }

    /// `finish` gives the place of an attempt back that entered as [`Entrance::Single`].
    pub fn release_exclusive(&mut self, fingerprint: Fingerprint) {
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.running = false;
        }
    }

    /// `answered` notes that an attempt was answered in full by a backend server that lives on. It
    /// clears the crashes of the fingerprint, and ends its quarantine.
    pub fn record_answer(&mut self, now: Millis, fingerprint: Fingerprint) {
        self.answers
            .insert(now, fingerprint, self.options.max_fingerprints);
        if let Some(entry) = self.entries.remove(&fingerprint) {
            self.by_time.remove(&(entry.last, fingerprint));
        }
    }

    /// `crashed` counts a crash that happened `age` before `now`; returns whether it was new.
    /// A crash before the last answer of the fingerprint is cleared already and does not count.
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
            last: at,
            noted: now,
            running: false,
        });
        // Each crash after a pause is news to other nodes, which begin the pause again.
        if answered && entry.crashes.len() >= limit && !entry.crashes.contains(&crash) {
            entry.crashes.pop_first();
        }
        // More crashes than the limit change nothing, so they take no memory.
        let room = entry.crashes.len() < limit.max(1);
        let new = room && entry.crashes.insert(crash);
        if new {
            entry.noted = now;
        }
        self.by_time.remove(&(entry.last, fingerprint));
        entry.last = entry.last.max(at);
        self.by_time.insert((entry.last, fingerprint), ());
        if self.entries.len() > self.options.max_fingerprints
            && let Some(((_, oldest), ())) = self.by_time.pop_first()
        {
            self.entries.remove(&oldest);
        }
        new
    }

    /// `withhold` returns how long any failure or refusal of the fingerprint is still to be
    /// withheld from its caller, so that every node has heard of its last crash before a resend
    /// can arrive there. Without a crash it is zero.
    pub fn withhold_time(&self, now: Millis, fingerprint: Fingerprint) -> Duration {
        let left = |e: &Entry| (e.noted + self.options.withhold_failure_for).saturating_since(now);
        self.entries.get(&fingerprint).map_or(Duration::ZERO, left)
    }

    /// `listed` returns the known fingerprints, oldest crash first.
    pub fn list(&self) -> Vec<FingerprintStatus> {
        let known = |fingerprint: &Fingerprint| {
            let entry = self.entries.get(fingerprint)?;
            Some(FingerprintStatus {
                fingerprint: *fingerprint,
                crashes: u32::try_from(entry.crashes.len()).unwrap_or(u32::MAX),
                released_at: entry.last + self.options.release_after,
            })
        };
        self.by_time.keys().filter_map(|(_, f)| known(f)).collect()
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
        while let Some(((last, fingerprint), ())) = self.by_time.first_key_value() {
            if now.saturating_since(*last) < self.options.release_after {
                return;
            }
            self.entries.remove(fingerprint);
            self.by_time.pop_first();
        }
    }
}
