//! Crash notices of the last minutes, for watchers and other keepers.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use shallothill_core::hash::Fingerprint;
use shallothill_core::ids::EndpointId;
use shallothill_core::time::Millis;
use shallothill_wire::crash::CrashNotice;

/// `KEEP_FOR` is longer than the default time of a quarantine, so that nodes which start late
/// still learn of it.
pub const KEEP_FOR: Duration = Duration::from_secs(15 * 60);

/// `NOTICES_MAX` bounds the notices that are kept; the oldest ones are dropped first.
pub const NOTICES_MAX: usize = 10_000;

type Key = (Fingerprint, EndpointId, u64);

#[derive(Clone, Debug)]
struct Kept {
    notice: CrashNotice,
    arrived: Millis,
}

impl Kept {
    fn age_ms(&self, now: Millis) -> u64 {
        let since_arrival = now.saturating_since(self.arrived).as_millis();
        let since_arrival = u64::try_from(since_arrival).unwrap_or(u64::MAX);
        self.notice.age_ms.saturating_add(since_arrival)
    }
}

/// `CrashTable` keeps crash notices in the order of the directory's change numbers.
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    by_change: BTreeMap<u64, Kept>,
    known: HashSet<Key>,
}

impl CrashTable {
    /// `is_news` tells whether a notice is recent and not known yet.
    pub fn is_news(&self, notice: &CrashNotice) -> bool {
        u128::from(notice.age_ms) < KEEP_FOR.as_millis() && !self.known.contains(&key(notice))
    }

    /// `insert` keeps a notice under the number of the directory change that announces it.
    pub fn insert(&mut self, now: Millis, change: u64, notice: CrashNotice) {
        self.known.insert(key(&notice));
        let kept = Kept {
            arrived: now,
            notice,
        };
        self.by_change.insert(change, kept);
        if self.by_change.len() > NOTICES_MAX
            && let Some((_, oldest)) = self.by_change.pop_first()
        {
            self.known.remove(&key(&oldest.notice));
        }
    }

    /// `since` returns the notices after a change number, with their ages at `now`.
    pub fn since(&self, now: Millis, change: u64) -> Vec<CrashNotice> {
        let later = self.by_change.range(change.saturating_add(1)..);
        let aged = later.map(|(_, kept)| {
            let age_ms = kept.age_ms(now);
            CrashNotice {
                age_ms,
                ..kept.notice.clone()
            }
        });
        aged.collect()
    }

    /// `expire` drops notices of crashes that are too long ago.
    pub fn expire(&mut self, now: Millis) {
        let known = &mut self.known;
        self.by_change.retain(|_, kept| {
            let keep = u128::from(kept.age_ms(now)) < KEEP_FOR.as_millis();
            if !keep {
                known.remove(&key(&kept.notice));
            }
            keep
        });
    }

    /// `len` returns the number of notices kept.
    pub fn len(&self) -> usize {
        self.by_change.len()
    }

    /// `is_empty` tells whether there are none.
    pub fn is_empty(&self) -> bool {
        self.by_change.is_empty()
    }
}

fn key(notice: &CrashNotice) -> Key {
    (notice.fingerprint, notice.endpoint.clone(), notice.crash)
}
