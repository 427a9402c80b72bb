//! A gate's claim on an idempotency key.

use std::fmt;

use serde::{Deserialize, Serialize};
use shallothill_core::hash::ContentHash;
use shallothill_core::ids::NodeName;
use shallothill_core::time::UnixMillis;

/// `ClaimId` identifies one claim. Its gate draws it at random and uses it for at most one
/// dispatch.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimId(pub u64, pub u64);

impl fmt::Display for ClaimId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.0, self.1)
    }
}

/// `Claim` is a gate's bid for the exclusive right to dispatch the request of an idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Stays the same when the claim is sent again.
    pub id: ClaimId,
    /// Hash of the method, path and body of the request.
    pub body_hash: ContentHash,
    /// The node of the gate that makes the claim.
    pub gate: NodeName,
    /// Wall-clock time after which the request's answer is no longer expected.
    pub expires: UnixMillis,
}
