//! Durable records of a ledger member.

use serde::{Deserialize, Serialize};
use shallothill_core::idempotency::IdempotencyKey;
use shallothill_core::ids::KeeperId;
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::UnixMillis;

use crate::claim::{Claim, ClaimId};
use crate::completion::Completion;
use crate::entry::LedgerEntry;

/// `LedgerRecord` is one change of a member's state, appended to its log and synced before the
/// reply that depends on it is sent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LedgerRecord {
    /// The member accepted `claim` for `key`.
    Accepted {
        /// The key, which was free.
        key: IdempotencyKey,
        /// The claim that holds the key from now on.
        claim: Claim,
    },
    /// The claim was withdrawn by its gate.
    Withdrawn {
        /// The key, which becomes free if this claim held it.
        key: IdempotencyKey,
        /// The claim that is not accepted again.
        claim: ClaimId,
    },
    /// The request of the key has ended.
    Completed {
        /// The key of the request.
        key: IdempotencyKey,
        /// The granted claim, which replaces any other claim on the key.
        claim: Claim,
        /// How the request ended.
        completion: Completion,
    },
    /// Another member started with a new incarnation of its data folder.
    PeerIncarnation {
        /// The other member.
        peer: KeeperId,
        /// The incarnation; a lower one than recorded before is ignored.
        incarnation: Incarnation,
    },
    /// Keys created at or before `through` are dropped and stay refused.
    #[serde(rename = "Forgotten")]
    KeysDropped {
        /// Creation time of the newest key that may be dropped.
        through: UnixMillis,
    },
    /// An entry restored by recovery or read from a snapshot.
    Restored {
        /// The key of the entry.
        key: IdempotencyKey,
        /// The entry, which replaces the one that the member has.
        entry: LedgerEntry,
    },
    /// The member holds its complete state and answers claims as this incarnation.
    #[serde(rename = "Whole")]
    Ready {
        /// The incarnation of the member's data folder.
        incarnation: Incarnation,
    },
}
