//! A member of the group of keepers that holds the keys of one region.

use std::collections::BTreeMap;
use std::ops::Bound;

use serde::{Deserialize, Serialize};
use shallothill_core::idempotency::IdempotencyKey;
use shallothill_core::ids::KeeperId;
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::UnixMillis;

use crate::completion::Completion;
use crate::entry::{Entry, Holding};
use crate::errors;
use crate::messages::{
    Answer, ClaimReply, ClaimRequest, CompleteRequest, RecoveryReply, RecoveryRequest, Refusal,
    WithdrawRequest,
};
use crate::options::LedgerOptions;
use crate::record::Record;

/// `PAGE_BYTES` bounds a page of entries; with one more entry it fits a frame of 8 MB, also where
/// the encoding takes two bytes for a byte of an answer.
const PAGE_BYTES: usize = 2 * 1024 * 1024;

/// `MemberStatus` tells whether a member may support claims.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MemberStatus {
    /// The member lost its disk, or is new, and restores its state from the others.
    Recovering,
    /// The member holds its whole state.
    Whole,
}

/// `Member` holds the keys of one region at one keeper.
///
/// Each call that changes state returns the records that describe the change. The caller must
/// append and sync them, and everything appended before, before it sends the reply.
#[derive(Clone, Debug)]
pub struct Member {
    me: KeeperId,
    group: Vec<KeeperId>,
    options: LedgerOptions,
    status: MemberStatus,
    incarnation: Incarnation,
    known: BTreeMap<KeeperId, Incarnation>,
    forgotten_through: UnixMillis,
    entries: BTreeMap<IdempotencyKey, Entry>,
    /// When the newest key was created.
    newest: UnixMillis,
}

impl Member {
    /// `try_new` builds a member without state, which must recover before it supports claims.
    ///
    /// Fails with `NotInGroup` when `group` does not list `me`.
    pub fn try_new(
        me: KeeperId,
        group: &[KeeperId],
        incarnation: Incarnation,
        options: LedgerOptions,
    ) -> errors::Result<Self> {
        if !group.contains(&me) {
            return errors::NotInGroupSnafu { me }.fail();
        }
        Ok(Self {
            me,
            group: group.to_vec(),
            options,
            status: MemberStatus::Recovering,
            incarnation,
            known: BTreeMap::new(),
            forgotten_through: UnixMillis(0),
            entries: BTreeMap::new(),
            newest: UnixMillis(0),
        })
    }

    /// `replay` applies a durable record at start.
    pub fn replay(&mut self, record: &Record) {
        match record {
            Record::Accepted { key, claim } => {
                self.entry(key).holding = Holding::Held(claim.clone());
            }
            Record::Withdrawn { key, claim } => {
                // Withdrawals are not checked for the age of their key, so they do not count as time.
                let entry = self.entries.entry(key.clone()).or_default();
                entry.dead.insert(*claim);
                if matches!(&entry.holding, Holding::Held(held) if held.id == *claim) {
                    entry.holding = Holding::Free;
                }
            }
            Record::Completed {
                key,
                claim,
                completion,
            } => {
                let entry = self.entry(key);
                entry.holding = Holding::Held(claim.clone());
                entry.completion = Some(completion.clone());
            }
            Record::PeerIncarnation { peer, incarnation } => {
                let known = self.known.entry(*peer).or_default();
                *known = (*known).max(*incarnation);
            }
            Record::Forgotten { through } => self.drop_through(*through),
            Record::Restored { key, entry } => {
                *self.entry(key) = entry.clone();
            }
            Record::Whole { incarnation } => {
                self.incarnation = *incarnation;
                self.status = MemberStatus::Whole;
            }
        }
    }

    /// `claim` supports the request's claim when its key is free, and tells what the member holds.
    pub fn claim(&mut self, now: UnixMillis, req: &ClaimRequest) -> (ClaimReply, Vec<Record>) {
        if let Some(refusal) = self.refusal(now, &req.key) {
            return (self.reply(Answer::Refused(refusal)), Vec::new());
        }
        let entry = self.entry(&req.key);
        if entry.dead.contains(&req.claim.id) {
            return (self.reply(Answer::Refused(Refusal::Withdrawn)), Vec::new());
        }
        let mut records = Vec::new();
        if entry.holding == Holding::Free {
            let record = Record::Accepted {
                key: req.key.clone(),
                claim: req.claim.clone(),
            };
            self.replay(&record);
            records.push(record);
        }
        (self.query(now, &req.key), records)
    }

    /// `query` tells what the member holds for `key`.
    pub fn query(&self, now: UnixMillis, key: &IdempotencyKey) -> ClaimReply {
        if let Some(refusal) = self.refusal(now, key) {
            return self.reply(Answer::Refused(refusal));
        }
        let answer = match self.entries.get(key) {
            None => Answer::Free,
            Some(entry) => match &entry.holding {
                Holding::Free => Answer::Free,
                Holding::Contested => Answer::Contested,
                Holding::Held(claim) => Answer::Holds {
                    claim: claim.clone(),
                    completion: entry.completion.clone(),
                },
            },
        };
        self.reply(answer)
    }

    /// `withdraw` frees the key from a claim of the calling gate and never accepts it again.
    ///
    /// Returns `None` while the member recovers: the withdrawal must be sent again.
    pub fn withdraw(&mut self, req: &WithdrawRequest) -> Option<Vec<Record>> {
        if self.status == MemberStatus::Recovering {
            return None;
        }
        let known_dead = |e: &Entry| e.dead.contains(&req.claim);
        if self.is_forgotten(&req.key) || self.entries.get(&req.key).is_some_and(known_dead) {
            return Some(Vec::new());
        }
        let record = Record::Withdrawn {
            key: req.key.clone(),
            claim: req.claim,
        };
        self.replay(&record);
        Some(vec![record])
    }

    /// `complete` stores how a granted request ended.
    ///
    /// Only a granted claim completes, so it replaces any other claim that this member supported.
    /// Returns `None` while the member recovers.
    pub fn complete(&mut self, req: &CompleteRequest) -> Option<Vec<Record>> {
        if self.status == MemberStatus::Recovering {
            return None;
        }
        let completion = req
            .completion
            .clone()
            .without_large_body(self.options.max_answer_bytes);
        let settled = matches!(
            self.entries
                .get(&req.key)
                .and_then(|e| e.completion.as_ref()),
            Some(Completion::Answered { .. })
        );
        if settled || self.is_forgotten(&req.key) {
            return Some(Vec::new());
        }
        let record = Record::Completed {
            key: req.key.clone(),
            claim: req.claim.clone(),
            completion,
        };
        self.replay(&record);
        Some(vec![record])
    }

    /// `forget` drops keys whose retention and margin have passed at `now`.
    ///
    /// Time also has to pass in the keys that callers create, so that a wall clock that jumps
    /// ahead neither drops claims nor makes the member refuse new keys after it was set right.
    pub fn forget(&mut self, now: UnixMillis) -> Vec<Record> {
        let kept = self.options.retention + self.options.drop_margin;
        let kept_ms = u64::try_from(kept.as_millis()).unwrap_or(u64::MAX);
        let now = now.min(self.newest);
        let through = UnixMillis(now.0.saturating_sub(kept_ms));
        if through <= self.forgotten_through {
            return Vec::new();
        }
        let record = Record::Forgotten { through };
        self.replay(&record);
        vec![record]
    }

    /// `recovery_request` answers a member that lost its disk with a page of the entries.
    ///
    /// Entries may change between two pages: from the first page on, a claim needs a majority
    /// without the other's former incarnation, and the other supports no claim before it is whole.
    ///
    /// Returns `None` while this member recovers itself. The records must be synced before the
    /// reply is sent: from then on, answers of the other's former incarnation do not count.
    pub fn recovery_request(
        &mut self,
        req: &RecoveryRequest,
    ) -> Option<(RecoveryReply, Vec<Record>)> {
        if self.status == MemberStatus::Recovering || !self.group.contains(&req.from) {
            return None;
        }
        let record = Record::PeerIncarnation {
            peer: req.from,
            incarnation: req.incarnation,
        };
        self.replay(&record);
        let mut known = self.known.clone();
        known.insert(self.me, self.incarnation);
        let (entries, more) = self.page(req.after.as_ref());
        let reply = RecoveryReply {
            member: self.me,
            for_incarnation: req.incarnation,
            known,
            forgotten_through: self.forgotten_through,
            entries,
            more,
        };
        Some((reply, vec![record]))
    }

    /// `snapshot` returns records that rebuild the whole state of the member.
    pub fn snapshot(&self) -> Vec<Record> {
        let mut records = vec![Record::Forgotten {
            through: self.forgotten_through,
        }];
        for (peer, incarnation) in &self.known {
            records.push(Record::PeerIncarnation {
                peer: *peer,
                incarnation: *incarnation,
            });
        }
        for (key, entry) in &self.entries {
            records.push(Record::Restored {
                key: key.clone(),
                entry: entry.clone(),
            });
        }
        if self.status == MemberStatus::Whole {
            records.push(Record::Whole {
                incarnation: self.incarnation,
            });
        }
        records
    }

    /// `status` tells whether the member supports claims.
    pub fn status(&self) -> MemberStatus {
        self.status
    }

    /// `incarnation` returns the life of the member's data folder.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// `group` returns the members of the region's group.
    pub fn group(&self) -> &[KeeperId] {
        &self.group
    }

    /// `len` returns the number of keys held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// `is_empty` tells whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn page(&self, after: Option<&IdempotencyKey>) -> (Vec<(IdempotencyKey, Entry)>, bool) {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut bytes = 0;
        let mut entries = Vec::new();
        for (key, entry) in self.entries.range((start, Bound::Unbounded)) {
            if bytes >= PAGE_BYTES {
                return (entries, true);
            }
            bytes += entry.size();
            entries.push((key.clone(), entry.clone()));
        }
        (entries, false)
    }

    fn entry(&mut self, key: &IdempotencyKey) -> &mut Entry {
        self.newest = self.newest.max(key.created());
        self.entries.entry(key.clone()).or_default()
    }

    fn refusal(&self, now: UnixMillis, key: &IdempotencyKey) -> Option<Refusal> {
        if self.status == MemberStatus::Recovering {
            return Some(Refusal::Recovering);
        }
        if self.is_forgotten(key) {
            return Some(Refusal::TooOld);
        }
        match key.age(now) {
            Some(age) if age > self.options.retention => Some(Refusal::TooOld),
            Some(_) => None,
            None => {
                let ahead = key.created().0.saturating_sub(now.0);
                let limit = self.options.future_limit.as_millis();
                (u128::from(ahead) > limit).then_some(Refusal::TooNew)
            }
        }
    }

    // The bound is durable and only rises, so a wall clock that is set back cannot make a member
    // accept a key whose entry it has dropped.
    fn is_forgotten(&self, key: &IdempotencyKey) -> bool {
        key.created() <= self.forgotten_through
    }

    fn drop_through(&mut self, through: UnixMillis) {
        self.forgotten_through = self.forgotten_through.max(through);
        let bound = self.forgotten_through;
        self.entries.retain(|key, _| key.created() > bound);
    }

    fn reply(&self, answer: Answer) -> ClaimReply {
        ClaimReply {
            member: self.me,
            incarnation: self.incarnation,
            known: self.known.clone(),
            answer,
        }
    }
}
