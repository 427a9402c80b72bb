//! What a non-idempotent request may run at most once for.

use serde::{Deserialize, Serialize};

/// `OncePer` tells over which sends a non-idempotent request runs at most once.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum OncePer {
    /// Over all sends with the same idempotency key, which the ledger holds.
    #[default]
    Key,
    /// Within one send of the caller. The caller sends again only what certainly did not run.
    Attempt,
}
