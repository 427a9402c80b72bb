//! What one member holds for one key.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::claim::{Claim, ClaimId};
use crate::completion::Completion;

/// `Holding` is the claim, if any, that a member supports for a key.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Holding {
    /// No claim.
    #[default]
    Free,
    /// One claim; no other is accepted until its own gate withdraws it.
    Held(Claim),
    /// Recovery found several claims and cannot tell which one was accepted; none is, ever.
    Contested,
}

/// `Entry` is the state of one key at one member.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// The supported claim.
    pub holding: Holding,
    /// How the request ended, when known.
    pub completion: Option<Completion>,
    /// Withdrawn claims; a late duplicate of one of them is not accepted again.
    pub dead: BTreeSet<ClaimId>,
}

impl Entry {
    /// `size` returns an estimate of the entry's size in bytes, with its key.
    pub fn size(&self) -> usize {
        let answer = match &self.completion {
            Some(Completion::Answered { headers, body, .. }) => {
                let headers: usize = headers.iter().map(|(n, v)| n.len() + v.len() + 16).sum();
                headers + body.as_ref().map_or(0, Vec::len)
            }
            _ => 0,
        };
        256 + answer + self.dead.len() * 20
    }
}
