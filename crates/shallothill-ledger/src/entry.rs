//! The state of one idempotency key at one member.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::claim::{Claim, ClaimId};
use crate::completion::Completion;

/// `ClaimState` tells which claim a member has accepted for a key.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimState {
    /// No claim is accepted; the next one is.
    #[default]
    Free,
    /// One claim is accepted; no other is until the claim's own gate withdraws it.
    Held(Claim),
    /// Recovery found several claims and cannot tell which one was granted, so the member never
    /// accepts one for this key.
    Contested,
}

/// `LedgerEntry` is the state of one key at one member.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LedgerEntry {
    /// The accepted claim, if any.
    #[serde(rename = "holding")]
    pub claim_state: ClaimState,
    /// How the request ended, or `None` while no end is stored.
    pub completion: Option<Completion>,
    /// Withdrawn claims; a late duplicate of one of them is not accepted again.
    #[serde(rename = "dead")]
    pub withdrawn: BTreeSet<ClaimId>,
}

impl LedgerEntry {
    /// `estimated_bytes` estimates the size of the entry with its key, in bytes.
    pub fn estimated_bytes(&self) -> usize {
        let answer = match &self.completion {
            Some(Completion::Answered { headers, body, .. }) => {
                let headers: usize = headers.iter().map(|(n, v)| n.len() + v.len() + 16).sum();
                headers + body.as_ref().map_or(0, Vec::len)
            }
            _ => 0,
        };
        256 + answer + self.withdrawn.len() * 20
    }
}
