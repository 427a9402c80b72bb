//! A member of the group of keepers that holds the keys of one region.

use std::collections::BTreeMap;
use std::ops::Bound;

use serde::{Deserialize, Serialize};
use shallothill_core::idempotency::IdempotencyKey;
use shallothill_core::ids::KeeperId;
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::UnixMillis;

use crate::completion::Completion;
use crate::entry::{ClaimState, LedgerEntry};
use crate::errors;
use crate::messages::{
    ClaimAnswer, ClaimRefusal, ClaimReply, ClaimRequest, CompleteRequest, RecoveryReply,
    RecoveryRequest, WithdrawRequest,
};
use crate::options::LedgerOptions;
use crate::record::LedgerRecord;

/// `PAGE_BYTES` bounds a page of entries; with one more entry it fits a frame of 8 MB, also where
/// the encoding takes two bytes for a byte of an answer.
const PAGE_BYTES: usize = 2 * 1024 * 1024;

/// `MemberStatus` tells whether a member may support claims.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MemberStatus {
    /// The member lost its disk, or is new, and restores its state from the others.
    Recovering,
    /// The member holds its complete state and answers claims.
    #[serde(rename = "Whole")]
    Ready,
}

/// `LedgerMember` holds the keys of one region at one keeper.
///
/// Each call that changes state returns the records that describe the change. The caller must
/// append and sync them, and everything appended before, before it sends the reply.
#[derive(Clone, Debug)]
pub struct LedgerMember {
    me: KeeperId,
    group: Vec<KeeperId>,
    options: LedgerOptions,
    status: MemberStatus,
    incarnation: Incarnation,
    known_incarnations: BTreeMap<KeeperId, Incarnation>,
    dropped_through: UnixMillis,
    entries: BTreeMap<IdempotencyKey, LedgerEntry>,
    /// When the newest key was created.
    newest: UnixMillis,
}

impl LedgerMember {
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
            known_incarnations: BTreeMap::new(),
            dropped_through: UnixMillis(0),
            entries: BTreeMap::new(),
            newest: UnixMillis(0),
        })
    }

    /// `apply` applies a durable record at start.
    pub fn apply(&mut self, record: &LedgerRecord) {
        match record {
            LedgerRecord::Accepted { key, claim } => {
                self.entry(key).claim = ClaimState::Held(claim.clone());
            }
            LedgerRecord::Withdrawn { key, claim } => {
                // Withdrawals are not checked for the age of their key, so they do not count as time.
                let entry = self.entries.entry(key.clone()).or_default();
                entry.withdrawn.insert(*claim);
                if matches!(&entry.claim, ClaimState::Held(held) if held.id == *claim) {
                    entry.claim = ClaimState::Free;
                }
            }
            LedgerRecord::Completed {
                key,
                claim,
                completion,
            } => {
                let entry = self.entry(key);
                entry.claim = ClaimState::Held(claim.clone());
                entry.completion = Some(completion.clone());
            }
            LedgerRecord::PeerIncarnation { peer, incarnation } => {
                let known = self.known_incarnations.entry(*peer).or_default();
                *known = (*known).max(*incarnation);
            }
            LedgerRecord::KeysDropped { through } => self.drop_through(*through),
            LedgerRecord::Restored { key, entry } => {
                *self.entry(key) = entry.clone();
            }
            LedgerRecord::Ready { incarnation } => {
                self.incarnation = *incarnation;
                self.status = MemberStatus::Ready;
            }
        }
    }

    /// `claim` supports the request's claim when its key is free, and tells what the member holds.
    pub fn claim(
        &mut self,
        now: UnixMillis,
        req: &ClaimRequest,
    ) -> (ClaimReply, Vec<LedgerRecord>) {
        if let Some(refusal) = self.refusal(now, &req.key) {
            return (self.reply(ClaimAnswer::Refused(refusal)), Vec::new());
        }
        let entry = self.entry(&req.key);
        if entry.withdrawn.contains(&req.claim.id) {
            return (
                self.reply(ClaimAnswer::Refused(ClaimRefusal::Withdrawn)),
                Vec::new(),
            );
        }
        let mut records = Vec::new();
        if entry.claim == ClaimState::Free {
            let record = LedgerRecord::Accepted {
                key: req.key.clone(),
                claim: req.claim.clone(),
            };
            self.apply(&record);
            records.push(record);
        }
        (self.query(now, &req.key), records)
    }

    /// `query` tells what the member holds for `key`.
    pub fn query(&self, now: UnixMillis, key: &IdempotencyKey) -> ClaimReply {
        if let Some(refusal) = self.refusal(now, key) {
            return self.reply(ClaimAnswer::Refused(refusal));
        }
        let answer = match self.entries.get(key) {
            None => ClaimAnswer::Free,
            Some(entry) => match &entry.claim {
                ClaimState::Free => ClaimAnswer::Free,
                ClaimState::Contested => ClaimAnswer::Contested,
                ClaimState::Held(claim) => ClaimAnswer::Holds {
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
    pub fn withdraw(&mut self, req: &WithdrawRequest) -> Option<Vec<LedgerRecord>> {
        if self.status == MemberStatus::Recovering {
            return None;
        }
        let is_withdrawn = |e: &LedgerEntry| e.withdrawn.contains(&req.claim);
        if self.is_dropped(&req.key) || self.entries.get(&req.key).is_some_and(is_withdrawn) {
            return Some(Vec::new());
        }
        let record = LedgerRecord::Withdrawn {
            key: req.key.clone(),
            claim: req.claim,
        };
        self.apply(&record);
        Some(vec![record])
    }

    /// `complete` stores how a granted request ended.
    ///
    /// Only a granted claim completes, so it replaces any other claim that this member supported.
    /// Returns `None` while the member recovers.
    pub fn complete(&mut self, req: &CompleteRequest) -> Option<Vec<LedgerRecord>> {
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
        if settled || self.is_dropped(&req.key) {
            return Some(Vec::new());
        }
        let record = LedgerRecord::Completed {
            key: req.key.clone(),
            claim: req.claim.clone(),
            completion,
        };
        self.apply(&record);
        Some(vec![record])
    }

    /// `drop_old_keys` drops keys whose retention and margin have passed at `now`.
    ///
    /// Time also has to pass in the keys that callers create, so that a wall clock that jumps
    /// ahead neither drops claims nor makes the member refuse new keys after it was set right.
    pub fn drop_old_keys(&mut self, now: UnixMillis) -> Vec<LedgerRecord> {
        let kept = self.options.retention + self.options.drop_margin;
        let kept_ms = u64::try_from(kept.as_millis()).unwrap_or(u64::MAX);
        let now = now.min(self.newest);
        let through = UnixMillis(now.0.saturating_sub(kept_ms));
        if through <= self.dropped_through {
            return Vec::new();
        }
        let record = LedgerRecord::KeysDropped { through };
        self.apply(&record);
        vec![record]
    }

    /// `on_recovery_request` answers a member that lost its disk with a page of the entries.
    ///
    /// Entries may change between two pages: from the first page on, a claim needs a majority
    /// without the other's former incarnation, and the other supports no claim before it is whole.
    ///
    /// Returns `None` while this member recovers itself. The records must be synced before the
    /// reply is sent: from then on, answers of the other's former incarnation do not count.
    pub fn on_recovery_request(
        &mut self,
        req: &RecoveryRequest,
    ) -> Option<(RecoveryReply, Vec<LedgerRecord>)> {
        if self.status == MemberStatus::Recovering || !self.group.contains(&req.from) {
            return None;
        }
        let record = LedgerRecord::PeerIncarnation {
            peer: req.from,
            incarnation: req.incarnation,
        };
        self.apply(&record);
        let mut known_incarnations = self.known_incarnations.clone();
        known_incarnations.insert(self.me, self.incarnation);
        let (entries, more) = self.page(req.after.as_ref());
        let reply = RecoveryReply {
            member: self.me,
            for_incarnation: req.incarnation,
            known_incarnations,
            dropped_through: self.dropped_through,
            entries,
            more,
        };
        Some((reply, vec![record]))
    }

    /// `snapshot` returns records that rebuild the whole state of the member.
    pub fn snapshot(&self) -> Vec<LedgerRecord> {
        let mut records = vec![LedgerRecord::KeysDropped {
            through: self.dropped_through,
        }];
        for (peer, incarnation) in &self.known_incarnations {
            records.push(LedgerRecord::PeerIncarnation {
                peer: *peer,
                incarnation: *incarnation,
            });
        }
        for (key, entry) in &self.entries {
            records.push(LedgerRecord::Restored {
                key: key.clone(),
                entry: entry.clone(),
            });
        }
        if self.status == MemberStatus::Ready {
            records.push(LedgerRecord::Ready {
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

    fn page(&self, after: Option<&IdempotencyKey>) -> (Vec<(IdempotencyKey, LedgerEntry)>, bool) {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut bytes = 0;
        let mut entries = Vec::new();
        for (key, entry) in self.entries.range((start, Bound::Unbounded)) {
            if bytes >= PAGE_BYTES {
                return (entries, true);
            }
            bytes += entry.estimated_bytes();
            entries.push((key.clone(), entry.clone()));
        }
        (entries, false)
    }

    fn entry(&mut self, key: &IdempotencyKey) -> &mut LedgerEntry {
        self.newest = self.newest.max(key.created());
        self.entries.entry(key.clone()).or_default()
    }

    fn refusal(&self, now: UnixMillis, key: &IdempotencyKey) -> Option<ClaimRefusal> {
        if self.status == MemberStatus::Recovering {
            return Some(ClaimRefusal::Recovering);
        }
        if self.is_dropped(key) {
            return Some(ClaimRefusal::TooOld);
        }
        match key.age(now) {
            Some(age) if age > self.options.retention => Some(ClaimRefusal::TooOld),
            Some(_) => None,
            None => {
                let ahead = key.created().0.saturating_sub(now.0);
                let limit = self.options.max_clock_skew.as_millis();
                (u128::from(ahead) > limit).then_some(ClaimRefusal::TooNew)
            }
        }
    }

    // The bound is durable and only rises, so a wall clock that is set back cannot make a member
    // accept a key whose entry it has dropped.
    fn is_dropped(&self, key: &IdempotencyKey) -> bool {
        key.created() <= self.dropped_through
    }

    fn drop_through(&mut self, through: UnixMillis) {
        self.dropped_through = self.dropped_through.max(through);
        let bound = self.dropped_through;
        self.entries.retain(|key, _| key.created() > bound);
    }

    fn reply(&self, answer: ClaimAnswer) -> ClaimReply {
        ClaimReply {
            member: self.me,
            incarnation: self.incarnation,
            known_incarnations: self.known_incarnations.clone(),
            answer,
        }
    }
}
