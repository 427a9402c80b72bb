//! The scope within which a non-idempotent request is executed at most once.

use serde::{Deserialize, Serialize};

/// `OncePer` is the scope within which a non-idempotent request is executed at most once.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum OncePer {
    /// All sends with the same idempotency key, on which the ledger records a claim.
    #[default]
    Key,
    /// One send of the caller, without a key. The caller must resend only requests that certainly
    /// were not executed.
    Attempt,
}
