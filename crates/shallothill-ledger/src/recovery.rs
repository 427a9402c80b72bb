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

/// `MemberPages` collects the pages that one member has sent.
#[derive(Clone, Debug, Default)]
struct MemberPages {
    known_incarnations: BTreeMap<KeeperId, Incarnation>,
    dropped_through: UnixMillis,
    entries: Vec<(IdempotencyKey, LedgerEntry)>,
    complete: bool,
}

/// `Recovery` collects the entries of the other members until the state of a member that lost its
/// disk can be rebuilt.
///
/// It needs replies of a majority of the full group that does not count the recovering member.
/// Any majority that granted a claim with the help of the lost disk then shares a member with the
/// replies, and after them the former replies from the lost disk no longer count.
#[derive(Clone, Debug)]
pub struct Recovery {
    me: KeeperId,
    incarnation: Incarnation,
    group: Vec<KeeperId>,
    pages: BTreeMap<KeeperId, MemberPages>,
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

    /// `next_request` returns the next request to send to `member` until [`Self::try_finish`]
    /// succeeds, or `None` when all its entries have arrived.
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

    /// `on_reply` adds a page of another member.
    ///
    /// When that member knows a higher incarnation of this one, all pages so far are dropped and
    /// the recovery starts again with an incarnation above it. A page that does not follow the
    /// member's last one is ignored.
    pub fn on_reply(&mut self, reply: RecoveryReply) {
        if reply.member == self.me || !self.group.contains(&reply.member) {
            return;
        }
        let known_incarnation = reply
            .known_incarnations
            .get(&self.me)
            .copied()
            .unwrap_or_default();
        if known_incarnation > self.incarnation {
            self.incarnation = Incarnation(known_incarnation.0.saturating_add(1));
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

    /// `try_finish` returns the records that rebuild the member's state, or `None` until a majority
    /// of the group has sent all its pages.
    ///
    /// The caller must sync these records before the member answers claims.
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
        let mut withdrawn: BTreeMap<&IdempotencyKey, BTreeSet<ClaimId>> = BTreeMap::new();
        let retained = || {
            complete()
                .flat_map(|p| &p.entries)
                .filter(|(k, _)| k.created() > through)
        };
        for (key, entry) in retained() {
            withdrawn.entry(key).or_default().extend(&entry.withdrawn);
        }
        let mut merged: BTreeMap<&IdempotencyKey, LedgerEntry> = BTreeMap::new();
        for (key, entry) in retained() {
            let withdrawn = withdrawn.get(key).cloned().unwrap_or_default();
            merge_entry(merged.entry(key).or_default(), entry, withdrawn);
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

// A completed claim was granted, so it replaces any other; a withdrawn claim was not granted, so it
// is left out. With two other claims it is unknown which of them the lost disk had accepted.
fn merge_entry(into: &mut LedgerEntry, from: &LedgerEntry, withdrawn: BTreeSet<ClaimId>) {
    let is_withdrawn =
        matches!(&from.claim_state, ClaimState::Held(claim) if withdrawn.contains(&claim.id));
    into.withdrawn = withdrawn;
    if into.completion.is_some() {
        return;
    }
    if from.completion.is_some() {
        into.claim_state = from.claim_state.clone();
        into.completion = from.completion.clone();
        return;
    }
    if is_withdrawn {
        return;
    }
    into.claim_state = match (&into.claim_state, &from.claim_state) {
        (ClaimState::Free, other) | (other, ClaimState::Free) => other.clone(),
        (ClaimState::Held(a), ClaimState::Held(b)) if a.id == b.id => ClaimState::Held(a.clone()),
        _ => ClaimState::Contested,
    };
}
