//! The gate's side of a claim.

use std::collections::BTreeMap;

use shallothill_core::idempotency::IdempotencyKey;
use shallothill_core::ids::KeeperId;
use shallothill_core::time::UnixMillis;

use crate::Completion;
use crate::claim::Claim;
use crate::messages::{ClaimAnswer, ClaimReply, ClaimRequest, CompleteRequest, WithdrawRequest};
use crate::outcome::ClaimOutcome;

/// `Claimant` collects the members' replies to one claim and decides on one outcome, which never
/// changes afterwards.
///
/// After any outcome but `Granted` the gate must never dispatch the request under this claim, and
/// sends [`Self::withdraw_request`] to the members until each has acknowledged it.
#[derive(Clone, Debug)]
pub struct Claimant {
    key: IdempotencyKey,
    claim: Claim,
    group: Vec<KeeperId>,
    replies: BTreeMap<KeeperId, ClaimReply>,
    outcome: Option<ClaimOutcome>,
}

impl Claimant {
    /// `new` starts a claim on `key` at the members of `group`.
    pub fn new(key: IdempotencyKey, claim: Claim, group: &[KeeperId]) -> Self {
        Self {
            key,
            claim,
            group: group.to_vec(),
            replies: BTreeMap::new(),
            outcome: None,
        }
    }

    /// `claim_request` builds the request for every member; it is idempotent and may be resent.
    pub fn claim_request(&self) -> ClaimRequest {
        ClaimRequest {
            key: self.key.clone(),
            claim: self.claim.clone(),
        }
    }

    /// `withdraw_request` builds the request that frees the key from this claim.
    pub fn withdraw_request(&self) -> WithdrawRequest {
        WithdrawRequest {
            key: self.key.clone(),
            claim: self.claim.id,
        }
    }

    /// `complete_request` builds the request that stores how the granted request ended.
    pub fn complete_request(&self, completion: Completion) -> CompleteRequest {
        CompleteRequest {
            key: self.key.clone(),
            claim: self.claim.clone(),
            completion,
        }
    }

    /// `on_reply` adds a member's reply and returns the outcome as soon as the replies decide it.
    pub fn on_reply(&mut self, now: UnixMillis, reply: ClaimReply) -> Option<&ClaimOutcome> {
        if self.outcome.is_none() && self.group.contains(&reply.member) {
            self.replies.insert(reply.member, reply);
            self.outcome = self.decide(now);
        }
        self.outcome.as_ref()
    }

    /// `final_outcome` decides the outcome from the replies so far; the gate calls it when it
    /// stops waiting for more.
    pub fn final_outcome(&mut self, now: UnixMillis) -> &ClaimOutcome {
        let outcome = match self.outcome.take() {
            Some(outcome) => outcome,
            None => self.outcome_without_majority(now),
        };
        self.outcome.insert(outcome)
    }

    fn majority(&self) -> usize {
        self.group.len() / 2 + 1
    }

    fn decide(&self, now: UnixMillis) -> Option<ClaimOutcome> {
        if let Some(outcome) = self.outcome_of_completed_request() {
            return Some(outcome);
        }
        if self.count_accepting() >= self.majority() {
            return Some(ClaimOutcome::Granted);
        }
        let missing_replies = self.group.len() - self.replies.len();
        let max_accepting =
            self.replies.values().filter(|r| self.accepts(r)).count() + missing_replies;
        (max_accepting < self.majority()).then(|| self.outcome_without_majority(now))
    }

    // One reply with a completed request decides: its answer is resent, or the key was used for a
    // different request.
    fn outcome_of_completed_request(&self) -> Option<ClaimOutcome> {
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

    fn accepts(&self, reply: &ClaimReply) -> bool {
        matches!(&reply.answer, ClaimAnswer::Holds { claim, .. } if claim.id == self.claim.id)
    }

    // A reply does not count when another accepting member knows a later incarnation of its
    // sender: the sender may have lost its disk since, and have recovered without this claim.
    fn count_accepting(&self) -> usize {
        let accepting: Vec<&ClaimReply> =
            self.replies.values().filter(|r| self.accepts(r)).collect();
        let is_outdated = |r: &ClaimReply| {
            accepting.iter().any(|o| {
                o.known_incarnations
                    .get(&r.member)
                    .is_some_and(|i| *i > r.incarnation)
            })
        };
        accepting.iter().filter(|r| !is_outdated(r)).count()
    }

    fn outcome_without_majority(&self, now: UnixMillis) -> ClaimOutcome {
        let mut refused = None;
        let mut contested = false;
        for reply in self.replies.values().filter(|r| !self.accepts(r)) {
            match &reply.answer {
                ClaimAnswer::Holds { claim, .. } if claim.body_hash != self.claim.body_hash => {
                    return ClaimOutcome::DifferentRequest;
                }
                ClaimAnswer::Holds { claim, .. } if now > claim.expires => {
                    return ClaimOutcome::MayHaveRun;
                }
                ClaimAnswer::Holds { .. } => return ClaimOutcome::InProgress,
                ClaimAnswer::Contested => contested = true,
                ClaimAnswer::Refused(refusal) => refused = Some(*refusal),
                ClaimAnswer::Free => {}
            }
        }
        match refused {
            _ if contested => ClaimOutcome::MayHaveRun,
            Some(refusal) => ClaimOutcome::Refused(refusal),
            None => ClaimOutcome::Unavailable,
        }
    }
}
