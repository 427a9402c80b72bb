//! A gate's claim on an idempotency key.

use std::fmt;

use serde::{Deserialize, Serialize};
use shallothill_core::hash::ContentHash;
use shallothill_core::ids::NodeName;
use shallothill_core::time::UnixMillis;

/// `ClaimId` is a random number that identifies one claim; it is never used for a second dispatch.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimId(pub u64, pub u64);

impl fmt::Display for ClaimId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.0, self.1)
    }
}

/// `Claim` is a gate's request to be the only one that dispatches the request of a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Identifies the claim; repeats of the same claim carry the same id.
    pub id: ClaimId,
    /// Hash of the method, path and body of the request.
    pub body_hash: ContentHash,
    /// The node that claims.
    pub gate: NodeName,
    /// Wall-clock time after which an answer is no longer expected.
    pub expires: UnixMillis,
}
