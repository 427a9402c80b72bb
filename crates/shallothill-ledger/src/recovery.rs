//! Recovery of a member that lost its disk.

use std::collections::BTreeMap;

use shallothill_core::idempotency::IdempotencyKey;
use shallothill_core::ids::KeeperId;
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::UnixMillis;

use crate::entry::{Entry, Holding};
use crate::messages::{RecoveryReply, RecoveryRequest};
use crate::record::Record;

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
    replies: BTreeMap<KeeperId, RecoveryReply>,
}

impl Recovery {
    /// `new` starts the recovery of `me` as `incarnation`, which must never have been used before.
    pub fn new(me: KeeperId, incarnation: Incarnation, group: &[KeeperId]) -> Self {
        Self {
            me,
            incarnation,
            group: group.to_vec(),
            replies: BTreeMap::new(),
        }
    }

    /// `request` returns the request to send to every other member until [`Self::finish`] succeeds.
    pub fn request(&self) -> RecoveryRequest {
        RecoveryRequest {
            from: self.me,
            incarnation: self.incarnation,
        }
    }

    /// `on_reply` adds an answer.
    ///
    /// When another member already knows a higher incarnation of this one, the answers so far are
    /// dropped and the recovery goes on above it.
    pub fn on_reply(&mut self, reply: RecoveryReply) {
        if reply.member == self.me || !self.group.contains(&reply.member) {
            return;
        }
        let known = reply.known.get(&self.me).copied().unwrap_or_default();
        if known > self.incarnation {
            self.incarnation = Incarnation(known.0 + 1);
            self.replies.clear();
            return;
        }
        if reply.for_incarnation == self.incarnation {
            self.replies.insert(reply.member, reply);
        }
    }

    /// `finish` returns the records that make the member whole, once enough members answered.
    ///
    /// The member counts only after these records are synced.
    pub fn finish(&self) -> Option<Vec<Record>> {
        if self.replies.len() < self.group.len() / 2 + 1 {
            return None;
        }
        let through = self
            .replies
            .values()
            .map(|r| r.forgotten_through)
            .max()
            .unwrap_or(UnixMillis(0));
        let mut records = vec![Record::Forgotten { through }];
        for reply in self.replies.values() {
            for (peer, incarnation) in reply.known.iter().filter(|(p, _)| **p != self.me) {
                records.push(Record::PeerIncarnation {
                    peer: *peer,
                    incarnation: *incarnation,
                });
            }
        }
        let mut merged: BTreeMap<&IdempotencyKey, Entry> = BTreeMap::new();
        for (key, entry) in self.replies.values().flat_map(|r| &r.entries) {
            if key.created() > through {
                merge(merged.entry(key).or_default(), entry);
            }
        }
        for (key, mut entry) in merged {
            drop_dead_claim(&mut entry);
            records.push(Record::Restored {
                key: key.clone(),
                entry,
            });
        }
        records.push(Record::Whole {
            incarnation: self.incarnation,
        });
        Some(records)
    }
}

// A claim that completed was granted, so it wins over any other; two claims without a completion
// leave open which of them the lost disk supported.
fn merge(into: &mut Entry, from: &Entry) {
    into.dead.extend(from.dead.iter().copied());
    if into.completion.is_some() {
        return;
    }
    if from.completion.is_some() {
        into.holding = from.holding.clone();
        into.completion = from.completion.clone();
        return;
    }
    into.holding = match (&into.holding, &from.holding) {
        (Holding::Free, other) | (other, Holding::Free) => other.clone(),
        (Holding::Held(a), Holding::Held(b)) if a.id == b.id => Holding::Held(a.clone()),
        _ => Holding::Contested,
    };
}

fn drop_dead_claim(entry: &mut Entry) {
    if matches!(&entry.holding, Holding::Held(claim) if entry.dead.contains(&claim.id)) {
        entry.holding = Holding::Free;
    }
}
