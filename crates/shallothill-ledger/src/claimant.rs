//! The gate's side of a claim.

use std::collections::BTreeMap;

use shallothill_core::idempotency::IdempotencyKey;
use shallothill_core::ids::KeeperId;
use shallothill_core::time::UnixMillis;

use crate::Completion;
use crate::claim::Claim;
use crate::messages::{Answer, ClaimReply, ClaimRequest, CompleteRequest, WithdrawRequest};
use crate::verdict::Verdict;

/// `Claimant` collects the members' answers to one claim and decides once.
///
/// After any verdict but `Granted` the gate must never dispatch the request under this claim, and
/// sends [`Self::withdrawal`] to the members until each has acknowledged it.
#[derive(Clone, Debug)]
pub struct Claimant {
    key: IdempotencyKey,
    claim: Claim,
    group: Vec<KeeperId>,
    replies: BTreeMap<KeeperId, ClaimReply>,
    verdict: Option<Verdict>,
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

    /// `request` returns the request to send to every member; repeating it is harmless.
    pub fn request(&self) -> ClaimRequest {
        ClaimRequest {
            key: self.key.clone(),
            claim: self.claim.clone(),
        }
    }

    /// `withdrawal` returns the request that frees the key from this claim.
    pub fn withdrawal(&self) -> WithdrawRequest {
        WithdrawRequest {
            key: self.key.clone(),
            claim: self.claim.id,
        }
    }

    /// `completion` returns the request that stores how the granted request ended.
    pub fn completion(&self, completion: Completion) -> CompleteRequest {
        CompleteRequest {
            key: self.key.clone(),
            claim: self.claim.clone(),
            completion,
        }
    }

    /// `on_reply` adds a member's answer and returns the verdict as soon as there is one.
    pub fn on_reply(&mut self, now: UnixMillis, reply: ClaimReply) -> Option<&Verdict> {
        if self.verdict.is_none() && self.group.contains(&reply.member) {
            self.replies.insert(reply.member, reply);
            self.verdict = self.decide(now);
        }
        self.verdict.as_ref()
    }

    /// `give_up` returns the final verdict when no more answers are awaited.
    pub fn give_up(&mut self, now: UnixMillis) -> &Verdict {
        let last = match self.verdict.take() {
            Some(verdict) => verdict,
            None => self.undecided(now),
        };
        self.verdict.insert(last)
    }

    fn majority(&self) -> usize {
        self.group.len() / 2 + 1
    }

    fn decide(&self, now: UnixMillis) -> Option<Verdict> {
        if let Some(verdict) = self.settled_elsewhere() {
            return Some(verdict);
        }
        if self.support() >= self.majority() {
            return Some(Verdict::Granted);
        }
        let open = self.group.len() - self.replies.len();
        let possible = self.replies.values().filter(|r| self.supports(r)).count() + open;
        (possible < self.majority()).then(|| self.undecided(now))
    }

    // A stored end of the request, or another request under the key, settles the matter at once.
    fn settled_elsewhere(&self) -> Option<Verdict> {
        self.replies.values().find_map(|r| match &r.answer {
            Answer::Holds {
                claim,
                completion: Some(done),
            } => Some(if claim.body_hash == self.claim.body_hash {
                Verdict::Completed(done.clone())
            } else {
                Verdict::DifferentRequest
            }),
            _ => None,
        })
    }

    fn supports(&self, reply: &ClaimReply) -> bool {
        matches!(&reply.answer, Answer::Holds { claim, .. } if claim.id == self.claim.id)
    }

    // An answer counts only when none of the others knows a later incarnation of its member: that
    // member may have lost its disk since, and have recovered without this claim.
    fn support(&self) -> usize {
        let supporting: Vec<&ClaimReply> =
            self.replies.values().filter(|r| self.supports(r)).collect();
        let outdated = |r: &ClaimReply| {
            supporting
                .iter()
                .any(|o| o.known.get(&r.member).is_some_and(|i| *i > r.incarnation))
        };
        supporting.iter().filter(|r| !outdated(r)).count()
    }

    fn undecided(&self, now: UnixMillis) -> Verdict {
        let mut refused = None;
        let mut contested = false;
        for reply in self.replies.values().filter(|r| !self.supports(r)) {
            match &reply.answer {
                Answer::Holds { claim, .. } if claim.body_hash != self.claim.body_hash => {
                    return Verdict::DifferentRequest;
                }
                Answer::Holds { claim, .. } if now > claim.expires => return Verdict::MayHaveRun,
                Answer::Holds { .. } => return Verdict::InProgress,
                Answer::Contested => contested = true,
                Answer::Refused(why) => refused = Some(*why),
                Answer::Free => {}
            }
        }
        match refused {
            _ if contested => Verdict::MayHaveRun,
            Some(why) => Verdict::Refused(why),
            None => Verdict::Unavailable,
        }
    }
}
