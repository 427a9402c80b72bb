//! What one member holds for one key.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::claim::{Claim, ClaimId};
use crate::completion::Completion;

/// `ClaimState` is the claim, if any, that a member supports for a key.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimState {
    /// No claim.
    #[default]
    Free,
    /// One claim; no other is accepted until its own gate withdraws it.
    Held(Claim),
    /// Recovery found several claims and cannot tell which one was accepted; none is, ever.
    Contested,
}

/// `LedgerEntry` is the state of one key at one member.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LedgerEntry {
    /// The supported claim.
    #[serde(rename = "holding")]
    pub claim: ClaimState,
    /// How the request ended, when known.
    pub completion: Option<Completion>,
    /// Withdrawn claims; a late duplicate of one of them is not accepted again.
    #[serde(rename = "dead")]
    pub withdrawn: BTreeSet<ClaimId>,
}

impl LedgerEntry {
    /// `estimated_bytes` returns an estimate of the entry's size in bytes, with its key.
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
