//! Messages between gates and members, and between members.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use shallothill_core::idempotency::IdempotencyKey;
use shallothill_core::ids::KeeperId;
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::UnixMillis;

use crate::claim::{Claim, ClaimId};
use crate::completion::Completion;
use crate::entry::LedgerEntry;

/// `ClaimRequest` asks a member to accept `claim` for `key`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRequest {
    /// The idempotency key of the caller's request.
    pub key: IdempotencyKey,
    /// The claim; a repeated request carries the same one.
    pub claim: Claim,
}

/// `ClaimRefusal` is the reason why a member refuses a key or a claim.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimRefusal {
    /// The key is older than the retention.
    TooOld,
    /// The key was created too far in the future.
    TooNew,
    /// The claim was withdrawn before.
    Withdrawn,
    /// The member restores its state and accepts no claims yet.
    Recovering,
}

/// `ClaimAnswer` is the state of a key at a member, as it answers a claim or query.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimAnswer {
    /// The member has accepted this claim, which may be another gate's.
    Holds {
        /// The accepted claim.
        claim: Claim,
        /// How the request ended, or `None` while no end is stored.
        completion: Option<Completion>,
    },
    /// The member has accepted no claim; only queries get this answer.
    Free,
    /// The member cannot tell which claim it had accepted before it lost its disk.
    Contested,
    /// The member accepts no claim, for this reason.
    Refused(ClaimRefusal),
}

/// `ClaimReply` is a member's reply to a claim or query.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimReply {
    /// The replying member.
    pub member: KeeperId,
    /// The incarnation of the member's data folder.
    pub incarnation: Incarnation,
    /// The highest incarnations of other members that this member has recorded.
    #[serde(rename = "known")]
    pub known_incarnations: BTreeMap<KeeperId, Incarnation>,
    /// The state of the key.
    pub answer: ClaimAnswer,
}

/// `WithdrawRequest` frees a key from a claim that was never dispatched and never will be.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WithdrawRequest {
    /// The key of the withdrawn claim.
    pub key: IdempotencyKey,
    /// The withdrawn claim.
    pub claim: ClaimId,
}

/// `CompleteRequest` stores how a granted request ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CompleteRequest {
    /// The key of the granted claim.
    pub key: IdempotencyKey,
    /// The granted claim.
    pub claim: Claim,
    /// How the request ended.
    pub completion: Completion,
}

/// `RecoveryRequest` asks a member for a page of its entries on behalf of one that lost its disk.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecoveryRequest {
    /// The member that lost its disk.
    pub from: KeeperId,
    /// The new incarnation of its data folder.
    pub incarnation: Incarnation,
    /// The last key of the page before, or `None` for the first page.
    pub after: Option<IdempotencyKey>,
}

/// `RecoveryReply` holds a page of a member's entries, in the order of the keys. It is sent only
/// once the new incarnation of the recovering member is durable.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecoveryReply {
    /// The replying member.
    pub member: KeeperId,
    /// The incarnation of the request that this reply belongs to.
    pub for_incarnation: Incarnation,
    /// The incarnations that the replying member has recorded, its own included.
    #[serde(rename = "known")]
    pub known_incarnations: BTreeMap<KeeperId, Incarnation>,
    /// Keys created at or before this time were dropped and stay refused.
    #[serde(rename = "forgotten_through")]
    pub dropped_through: UnixMillis,
    /// The entries of the page.
    pub entries: Vec<(IdempotencyKey, LedgerEntry)>,
    /// Whether entries follow after this page.
    pub more: bool,
}
