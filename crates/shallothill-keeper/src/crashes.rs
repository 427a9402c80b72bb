//! Stores recent crash notices for nodes and other keepers.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use shallothill_core::hash::Fingerprint;
use shallothill_core::ids::EndpointId;
use shallothill_core::time::Millis;
use shallothill_wire::crash::CrashNotice;

/// `NOTICE_TTL` is the age at which a notice is dropped. It is longer than the default quarantine,
/// so that nodes which start late still learn of it.
pub const NOTICE_TTL: Duration = Duration::from_secs(15 * 60);

/// `NOTICES_MAX` bounds the stored notices; the oldest ones are dropped first.
pub const NOTICES_MAX: usize = 10_000;

type NoticeKey = (Fingerprint, EndpointId, u64);

#[derive(Clone, Debug)]
struct StoredNotice {
    notice: CrashNotice,
    received_at: Millis,
}

impl StoredNotice {
    fn age_ms(&self, now: Millis) -> u64 {
        let since_arrival = now.saturating_since(self.received_at).as_millis();
        let since_arrival = u64::try_from(since_arrival).unwrap_or(u64::MAX);
        self.notice.age_ms.saturating_add(since_arrival)
    }
}

/// `CrashTable` stores crash notices in the order of the directory's change numbers.
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    by_change: BTreeMap<u64, StoredNotice>,
    stored_keys: HashSet<NoticeKey>,
}

impl CrashTable {
    /// `is_new` tells whether a notice is younger than [`NOTICE_TTL`] and not stored yet.
    pub fn is_new(&self, notice: &CrashNotice) -> bool {
        u128::from(notice.age_ms) < NOTICE_TTL.as_millis()
            && !self.stored_keys.contains(&key(notice))
    }

    /// `insert` stores a notice under the number of the directory change that announces it.
    pub fn insert(&mut self, now: Millis, change: u64, notice: CrashNotice) {
        self.stored_keys.insert(key(&notice));
        let stored = StoredNotice {
            received_at: now,
            notice,
        };
        self.by_change.insert(change, stored);
        if self.by_change.len() > NOTICES_MAX
            && let Some((_, oldest)) = self.by_change.pop_first()
        {
            self.stored_keys.remove(&key(&oldest.notice));
        }
    }

    /// `since` returns the notices after the given change number, with their ages at `now`.
    pub fn since(&self, now: Millis, change: u64) -> Vec<CrashNotice> {
        let later = self.by_change.range(change.saturating_add(1)..);
        let aged = later.map(|(_, stored)| {
            let age_ms = stored.age_ms(now);
            CrashNotice {
                age_ms,
                ..stored.notice.clone()
            }
        });
        aged.collect()
    }

    /// `expire` drops notices that have reached [`NOTICE_TTL`].
    pub fn expire(&mut self, now: Millis) {
        let stored_keys = &mut self.stored_keys;
        self.by_change.retain(|_, stored| {
            let keep = u128::from(stored.age_ms(now)) < NOTICE_TTL.as_millis();
            if !keep {
                stored_keys.remove(&key(&stored.notice));
            }
            keep
        });
    }

    /// `len` returns the number of stored notices.
    pub fn len(&self) -> usize {
        self.by_change.len()
    }

    /// `is_empty` tells whether no notice is stored.
    pub fn is_empty(&self) -> bool {
        self.by_change.is_empty()
    }
}

fn key(notice: &CrashNotice) -> NoticeKey {
    (notice.fingerprint, notice.endpoint.clone(), notice.crash)
}
