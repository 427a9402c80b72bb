//! Recovery of a member that lost its disk.

use std::collections::{BTreeMap, BTreeSet};

use shallothill_core::idempotency::IdempotencyKey;
use shallothill_core::ids::KeeperId;
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::UnixMillis;

use crate::claim::ClaimId;
use crate::entry::{ClaimState, LedgerEntry};
use crate::messages::{RecoveryReply, RecoveryRequest};
use crate::record::LedgerRecord;

/// `Pages` holds what one member sent so far.
#[derive(Clone, Debug, Default)]
struct Pages {
    known_incarnations: BTreeMap<KeeperId, Incarnation>,
    dropped_through: UnixMillis,
    entries: Vec<(IdempotencyKey, LedgerEntry)>,
    complete: bool,
}

/// `Recovery` collects the entries of other members until a member is whole again.
///
/// It needs answers of a majority of the full group that does not count the recovering member.
/// Any majority that granted a claim with the help of the lost disk then shares a member with the
/// answers, and after them the lost disk's former answers count no more.
#[derive(Clone, Debug)]
pub struct Recovery {
    me: KeeperId,
    incarnation: Incarnation,
    group: Vec<KeeperId>,
    pages: BTreeMap<KeeperId, Pages>,
}

impl Recovery {
    /// `new` starts the recovery of `me` as `incarnation`, which must never have been used before.
    pub fn new(me: KeeperId, incarnation: Incarnation, group: &[KeeperId]) -> Self {
        Self {
            me,
            incarnation,
            group: group.to_vec(),
            pages: BTreeMap::new(),
        }
    }

    /// `next_request` returns the next request to send to `member` until [`Self::try_finish`] succeeds, or
    /// `None` when all its entries are here.
    pub fn next_request(&self, member: KeeperId) -> Option<RecoveryRequest> {
        let pages = self.pages.get(&member);
        if pages.is_some_and(|p| p.complete) {
            return None;
        }
        Some(RecoveryRequest {
            from: self.me,
            incarnation: self.incarnation,
            after: pages.and_then(|p| p.entries.last()).map(|(k, _)| k.clone()),
        })
    }

    /// `on_reply` adds an answer.
    ///
    /// When another member already knows a higher incarnation of this one, the answers so far are
    /// dropped and the recovery goes on above it. A page that does not follow the last one is
    /// ignored.
    pub fn on_reply(&mut self, reply: RecoveryReply) {
        if reply.member == self.me || !self.group.contains(&reply.member) {
            return;
        }
        let known = reply
            .known_incarnations
            .get(&self.me)
            .copied()
            .unwrap_or_default();
        if known > self.incarnation {
            self.incarnation = Incarnation(known.0.saturating_add(1));
            self.pages.clear();
            return;
        }
        if reply.for_incarnation != self.incarnation {
            return;
        }
        let pages = self.pages.entry(reply.member).or_default();
        let last = pages.entries.last().map(|(k, _)| k);
        let first = reply.entries.first().map(|(k, _)| k);
        let follows = first.is_none_or(|first| last.is_none_or(|last| last < first));
        if pages.complete || !follows {
            return;
        }
        pages.known_incarnations.extend(reply.known_incarnations);
        pages.dropped_through = pages.dropped_through.max(reply.dropped_through);
        pages.entries.extend(reply.entries);
        pages.complete = !reply.more;
    }

    /// `try_finish` returns the records that make the member whole, once enough members answered.
    ///
    /// The member counts only after these records are synced.
    pub fn try_finish(&self) -> Option<Vec<LedgerRecord>> {
        let complete = || self.pages.values().filter(|p| p.complete);
        if complete().count() < self.group.len() / 2 + 1 {
            return None;
        }
        let through = complete()
            .map(|r| r.dropped_through)
            .max()
            .unwrap_or(UnixMillis(0));
        let mut records = vec![LedgerRecord::KeysDropped { through }];
        for pages in complete() {
            for (peer, incarnation) in pages
                .known_incarnations
                .iter()
                .filter(|(p, _)| **p != self.me)
            {
                records.push(LedgerRecord::PeerIncarnation {
                    peer: *peer,
                    incarnation: *incarnation,
                });
            }
        }
        let mut dead: BTreeMap<&IdempotencyKey, BTreeSet<ClaimId>> = BTreeMap::new();
        let kept = || {
            complete()
                .flat_map(|p| &p.entries)
                .filter(|(k, _)| k.created() > through)
        };
        for (key, entry) in kept() {
            dead.entry(key).or_default().extend(&entry.withdrawn);
        }
        let mut merged: BTreeMap<&IdempotencyKey, LedgerEntry> = BTreeMap::new();
        for (key, entry) in kept() {
            let dead = dead.get(key).cloned().unwrap_or_default();
            merge(merged.entry(key).or_default(), entry, dead);
        }
        let restored = merged
            .into_iter()
            .map(|(key, entry)| LedgerRecord::Restored {
                key: key.clone(),
                entry,
            });
        records.extend(restored);
        records.push(LedgerRecord::Ready {
            incarnation: self.incarnation,
        });
        Some(records)
    }
}

// A claim that completed was granted, so it wins over any other, and one that its gate withdrew was
// not. Two other claims leave open which of them the lost disk supported.
fn merge(into: &mut LedgerEntry, from: &LedgerEntry, dead: BTreeSet<ClaimId>) {
    let withdrawn = matches!(&from.claim, ClaimState::Held(claim) if dead.contains(&claim.id));
    into.withdrawn = dead;
    if into.completion.is_some() {
        return;
    }
    if from.completion.is_some() {
        into.claim = from.claim.clone();
        into.completion = from.completion.clone();
        return;
    }
    if withdrawn {
        return;
    }
    into.claim = match (&into.claim, &from.claim) {
        (ClaimState::Free, other) | (other, ClaimState::Free) => other.clone(),
        (ClaimState::Held(a), ClaimState::Held(b)) if a.id == b.id => ClaimState::Held(a.clone()),
        _ => ClaimState::Contested,
    };
}
