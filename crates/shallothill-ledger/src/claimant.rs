//! The gate's side of a claim.

use std::collections::BTreeMap;

use shallothill_core::idempotency::IdempotencyKey;
use shallothill_core::ids::KeeperId;
use shallothill_core::time::UnixMillis;

use crate::Completion;
use crate::claim::Claim;
use crate::messages::{ClaimAnswer, ClaimReply, ClaimRequest, CompleteRequest, WithdrawRequest};
use crate::outcome::ClaimOutcome;

/// `Claimant` collects the members' answers to one claim and decides once.
///
/// After any verdict but `Granted` the gate must never dispatch the request under this claim, and
/// sends [`Self::withdraw_request`] to the members until each has acknowledged it.
#[derive(Clone, Debug)]
pub struct Claimant {
    key: IdempotencyKey,
    claim: Claim,
    group: Vec<KeeperId>,
    replies: BTreeMap<KeeperId, ClaimReply>,
    verdict: Option<ClaimOutcome>,
}

impl Claimant {
    /// `new` starts a claim on `key` at the members of `group`.
    pub fn new(key: IdempotencyKey, claim: Claim, group: &[KeeperId]) -> Self {
        Self {
            key,
            claim,
            group: group.to_vec(),
            replies: BTreeMap::new(),
            verdict: None,
        }
    }

    /// `claim_request` returns the request to send to every member; repeating it is harmless.
    pub fn claim_request(&self) -> ClaimRequest {
        ClaimRequest {
            key: self.key.clone(),
            claim: self.claim.clone(),
        }
    }

    /// `withdraw_request` returns the request that frees the key from this claim.
    pub fn withdraw_request(&self) -> WithdrawRequest {
        WithdrawRequest {
            key: self.key.clone(),
            claim: self.claim.id,
        }
    }

    /// `complete_request` returns the request that stores how the granted request ended.
    pub fn complete_request(&self, completion: Completion) -> CompleteRequest {
        CompleteRequest {
            key: self.key.clone(),
            claim: self.claim.clone(),
            completion,
        }
    }

    /// `on_reply` adds a member's answer and returns the verdict as soon as there is one.
    pub fn on_reply(&mut self, now: UnixMillis, reply: ClaimReply) -> Option<&ClaimOutcome> {
        if self.verdict.is_none() && self.group.contains(&reply.member) {
            self.replies.insert(reply.member, reply);
            self.verdict = self.decide(now);
        }
        self.verdict.as_ref()
    }

    /// `final_outcome` returns the final verdict when no more answers are awaited.
    pub fn final_outcome(&mut self, now: UnixMillis) -> &ClaimOutcome {
        let last = match self.verdict.take() {
            Some(verdict) => verdict,
            None => self.undecided(now),
        };
        self.verdict.insert(last)
    }

    fn majority(&self) -> usize {
        self.group.len() / 2 + 1
    }

    fn decide(&self, now: UnixMillis) -> Option<ClaimOutcome> {
        if let Some(verdict) = self.settled_elsewhere() {
            return Some(verdict);
        }
        if self.support() >= self.majority() {
            return Some(ClaimOutcome::Granted);
        }
        let open = self.group.len() - self.replies.len();
        let possible = self.replies.values().filter(|r| self.supports(r)).count() + open;
        (possible < self.majority()).then(|| self.undecided(now))
    }

    // A stored end of the request, or another request under the key, settles the matter at once.
    fn settled_elsewhere(&self) -> Option<ClaimOutcome> {
        self.replies.values().find_map(|r| match &r.answer {
            ClaimAnswer::Holds {
                claim,
                completion: Some(done),
            } => Some(if claim.body_hash == self.claim.body_hash {
                ClaimOutcome::Completed(done.clone())
            } else {
                ClaimOutcome::DifferentRequest
            }),
            _ => None,
        })
    }

    fn supports(&self, reply: &ClaimReply) -> bool {
        matches!(&reply.answer, ClaimAnswer::Holds { claim, .. } if claim.id == self.claim.id)
    }

    // An answer counts only when none of the others knows a later incarnation of its member: that
    // member may have lost its disk since, and have recovered without this claim.
    fn support(&self) -> usize {
        let supporting: Vec<&ClaimReply> =
            self.replies.values().filter(|r| self.supports(r)).collect();
        let outdated = |r: &ClaimReply| {
            supporting.iter().any(|o| {
                o.known_incarnations
                    .get(&r.member)
                    .is_some_and(|i| *i > r.incarnation)
            })
        };
        supporting.iter().filter(|r| !outdated(r)).count()
    }

    fn undecided(&self, now: UnixMillis) -> ClaimOutcome {
        let mut refused = None;
        let mut contested = false;
        for reply in self.replies.values().filter(|r| !self.supports(r)) {
            match &reply.answer {
                ClaimAnswer::Holds { claim, .. } if claim.body_hash != self.claim.body_hash => {
                    return ClaimOutcome::DifferentRequest;
                }
                ClaimAnswer::Holds { claim, .. } if now > claim.expires => {
                    return ClaimOutcome::MayHaveRun;
                }
                ClaimAnswer::Holds { .. } => return ClaimOutcome::InProgress,
                ClaimAnswer::Contested => contested = true,
                ClaimAnswer::Refused(why) => refused = Some(*why),
                ClaimAnswer::Free => {}
            }
        }
        match refused {
            _ if contested => ClaimOutcome::MayHaveRun,
            Some(why) => ClaimOutcome::Refused(why),
            None => ClaimOutcome::Unavailable,
        }
    }
}
