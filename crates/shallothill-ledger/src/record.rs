//! Durable records of a ledger member.

use serde::{Deserialize, Serialize};
use shallothill_core::idempotency::IdempotencyKey;
use shallothill_core::ids::KeeperId;
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::UnixMillis;

use crate::claim::{Claim, ClaimId};
use crate::completion::Completion;
use crate::entry::LedgerEntry;

/// `LedgerRecord` is one change of a member's state, appended to its log and synced before the reply
/// that depends on it is sent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LedgerRecord {
    /// The member supports `claim` for `key`.
    Accepted {
        /// The key.
        key: IdempotencyKey,
        /// The claim.
        claim: Claim,
    },
    /// The claim was withdrawn by its gate.
    Withdrawn {
        /// The key.
        key: IdempotencyKey,
        /// The claim.
        claim: ClaimId,
    },
    /// The request of the key has ended.
    Completed {
        /// The key.
        key: IdempotencyKey,
        /// The granted claim.
        claim: Claim,
        /// How the request ended.
        completion: Completion,
    },
    /// Another member started a new life of its data folder.
    PeerIncarnation {
        /// The other member.
        peer: KeeperId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// Keys created at or before `through` are dropped and stay refused.
    #[serde(rename = "Forgotten")]
    KeysDropped {
        /// The bound.
        through: UnixMillis,
    },
    /// An entry restored by recovery or read from a snapshot.
    Restored {
        /// The key.
        key: IdempotencyKey,
        /// The entry.
        entry: LedgerEntry,
    },
    /// The member holds its complete state and answers claims as this incarnation.
    #[serde(rename = "Whole")]
    Ready {
        /// The incarnation.
        incarnation: Incarnation,
    },
}
