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

/// `RECOVERY_PAGE_BYTES` is the size at which a page of entries is closed. A page with one more
/// entry fits a frame of 8 MB, even where the encoding takes two bytes for a byte of an answer.
const RECOVERY_PAGE_BYTES: usize = 2 * 1024 * 1024;

/// `MemberStatus` tells whether a member may accept claims.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MemberStatus {
    /// The member is new or lost its disk, and restores its state from the other members.
    Recovering,
    /// The member holds its complete state and answers claims.
    #[serde(rename = "Whole")]
    Ready,
}

/// `LedgerMember` holds the keys of one region at one keeper.
///
/// Each call that changes the state returns the records of the change. The caller must append and
/// sync them, and everything appended earlier, before it sends the reply.
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
    newest_key_created: UnixMillis,
}

impl LedgerMember {
    /// `try_new` builds a member without state, which must recover before it accepts claims.
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
            newest_key_created: UnixMillis(0),
        })
    }

    /// `apply` changes the state as `record` describes; at start the caller passes every durable
    /// record to it.
    pub fn apply(&mut self, record: &LedgerRecord) {
        match record {
            LedgerRecord::Accepted { key, claim } => {
                self.entry_mut(key).claim_state = ClaimState::Held(claim.clone());
            }
            LedgerRecord::Withdrawn { key, claim } => {
                // The age of a withdrawal's key is not checked, so a withdrawal must not advance
                // `newest_key_created`, as `entry_mut` would.
                let entry = self.entries.entry(key.clone()).or_default();
                entry.withdrawn.insert(*claim);
                if matches!(&entry.claim_state, ClaimState::Held(held) if held.id == *claim) {
                    entry.claim_state = ClaimState::Free;
                }
            }
            LedgerRecord::Completed {
                key,
                claim,
                completion,
            } => {
                let entry = self.entry_mut(key);
                entry.claim_state = ClaimState::Held(claim.clone());
                entry.completion = Some(completion.clone());
            }
            LedgerRecord::PeerIncarnation { peer, incarnation } => {
                let known = self.known_incarnations.entry(*peer).or_default();
                *known = (*known).max(*incarnation);
            }
            LedgerRecord::KeysDropped { through } => self.drop_keys_through(*through),
            LedgerRecord::Restored { key, entry } => {
                *self.entry_mut(key) = entry.clone();
            }
            LedgerRecord::Ready { incarnation } => {
                self.incarnation = *incarnation;
                self.status = MemberStatus::Ready;
            }
        }
    }

    /// `claim` accepts the request's claim when its key is free, and replies with the key's state.
    pub fn claim(
        &mut self,
        now: UnixMillis,
        req: &ClaimRequest,
    ) -> (ClaimReply, Vec<LedgerRecord>) {
        if let Some(refusal) = self.refusal_for(now, &req.key) {
            return (self.reply(ClaimAnswer::Refused(refusal)), Vec::new());
        }
        let entry = self.entry_mut(&req.key);
        if entry.withdrawn.contains(&req.claim.id) {
            return (
                self.reply(ClaimAnswer::Refused(ClaimRefusal::Withdrawn)),
                Vec::new(),
            );
        }
        let mut records = Vec::new();
        if entry.claim_state == ClaimState::Free {
            let record = LedgerRecord::Accepted {
                key: req.key.clone(),
                claim: req.claim.clone(),
            };
            self.apply(&record);
            records.push(record);
        }
        (self.query(now, &req.key), records)
    }

    /// `query` replies with the state of `key` and changes nothing.
    pub fn query(&self, now: UnixMillis, key: &IdempotencyKey) -> ClaimReply {
        if let Some(refusal) = self.refusal_for(now, key) {
            return self.reply(ClaimAnswer::Refused(refusal));
        }
        let answer = match self.entries.get(key) {
            None => ClaimAnswer::Free,
            Some(entry) => match &entry.claim_state {
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

    /// `withdraw` frees the key from a claim of the calling gate, which is never accepted again.
    ///
    /// Returns `None` while the member recovers; the gate must send the withdrawal again.
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
    /// Only a granted claim completes, so it replaces any other claim that this member accepted.
    /// Returns `None` while the member recovers.
    pub fn complete(&mut self, req: &CompleteRequest) -> Option<Vec<LedgerRecord>> {
        if self.status == MemberStatus::Recovering {
            return None;
        }
        let completion = req
            .completion
            .clone()
            .without_large_body(self.options.max_answer_bytes);
        let is_answered = matches!(
            self.entries
                .get(&req.key)
                .and_then(|e| e.completion.as_ref()),
            Some(Completion::Answered { .. })
        );
        if is_answered || self.is_dropped(&req.key) {
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
    /// The creation time of the newest key bounds `now`, so that a wall clock that jumps ahead
    /// neither drops claims nor makes the member refuse new keys after the clock is corrected.
    pub fn drop_old_keys(&mut self, now: UnixMillis) -> Vec<LedgerRecord> {
        let keep_for = self.options.retention + self.options.drop_margin;
        let keep_for_ms = u64::try_from(keep_for.as_millis()).unwrap_or(u64::MAX);
        let now = now.min(self.newest_key_created);
        let through = UnixMillis(now.0.saturating_sub(keep_for_ms));
        if through <= self.dropped_through {
            return Vec::new();
        }
        let record = LedgerRecord::KeysDropped { through };
        self.apply(&record);
        vec![record]
    }

    /// `on_recovery_request` sends a page of the entries to a member that lost its disk.
    ///
    /// Entries may change between two pages: from the first page on, a claim needs a majority
    /// without the requester's former incarnation, and the requester accepts no claim before it is
    /// ready.
    ///
    /// Returns `None` while this member recovers itself, or when the requester is not in the group.
    /// The records must be synced before the reply is sent: from then on, replies of the
    /// requester's former incarnation do not count.
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
        let (entries, more) = self.recovery_page(req.after.as_ref());
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

    /// `snapshot` returns records that rebuild the complete state of the member.
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

    /// `status` tells whether the member may accept claims.
    pub fn status(&self) -> MemberStatus {
        self.status
    }

    /// `incarnation` returns the incarnation of the member's data folder.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// `group` returns all keepers of the region's group, this one included.
    pub fn group(&self) -> &[KeeperId] {
        &self.group
    }

    /// `len` counts the keys that have an entry, the free ones included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// `is_empty` tells whether no key has an entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn recovery_page(
        &self,
        after: Option<&IdempotencyKey>,
    ) -> (Vec<(IdempotencyKey, LedgerEntry)>, bool) {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut bytes = 0;
        let mut entries = Vec::new();
        for (key, entry) in self.entries.range((start, Bound::Unbounded)) {
            if bytes >= RECOVERY_PAGE_BYTES {
                return (entries, true);
            }
            bytes += entry.estimated_bytes();
            entries.push((key.clone(), entry.clone()));
        }
        (entries, false)
    }

    fn entry_mut(&mut self, key: &IdempotencyKey) -> &mut LedgerEntry {
        self.newest_key_created = self.newest_key_created.max(key.created());
        self.entries.entry(key.clone()).or_default()
    }

    fn refusal_for(&self, now: UnixMillis, key: &IdempotencyKey) -> Option<ClaimRefusal> {
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

    // `dropped_through` is durable and only rises, so a wall clock that is set back cannot make a
    // member accept a key whose entry it has dropped.
    fn is_dropped(&self, key: &IdempotencyKey) -> bool {
        key.created() <= self.dropped_through
    }

    fn drop_keys_through(&mut self, through: UnixMillis) {
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
