//! Remembers the outcomes of recent changes, so that a resend gets the same answer.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};
use shallothill_core::hash::ContentHash;

use super::change::Outcome;

/// `CHANGES_MAX` is the number of changes that are remembered, about one day of them.
pub const CHANGES_MAX: usize = 10_000;

/// `KnownChange` is a remembered change with its outcome.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KnownChange {
    /// Identifies the change across resends.
    pub change_id: String,
    /// Hash of the complete submitted text.
    pub text_hash: ContentHash,
    /// The outcome of the first submission.
    pub outcome: Outcome,
}

/// `ChangeTable` remembers the last [`CHANGES_MAX`] changes.
#[derive(Clone, Debug, Default)]
pub struct ChangeTable {
    order: VecDeque<String>,
    by_id: HashMap<String, KnownChange>,
}

impl ChangeTable {
    /// `insert` adds a change and evicts the oldest one when the table is full.
    pub fn insert(&mut self, change: KnownChange) {
        if self.order.len() >= CHANGES_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_id.remove(&oldest);
        }
        self.order.push_back(change.change_id.clone());
        self.by_id.insert(change.change_id.clone(), change);
    }

    /// `outcome_of` returns the outcome of a remembered change, `Reused` if `text_hash` differs
    /// from the first submission's, or `None` for an unknown id.
    pub fn outcome_of(&self, change_id: &str, text_hash: ContentHash) -> Option<Outcome> {
        let change = self.by_id.get(change_id)?;
        if change.text_hash == text_hash {
            return Some(change.outcome);
        }
        Some(match change.outcome {
            Outcome::Accepted(version) => Outcome::Reused(Some(version)),
            _ => Outcome::Reused(None),
        })
    }

    /// `len` returns the number of remembered changes.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// `is_empty` tells whether no change is remembered.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// `to_list` returns the remembered changes, oldest first.
    pub fn to_list(&self) -> Vec<KnownChange> {
        let changes = self.order.iter().filter_map(|id| self.by_id.get(id));
        changes.cloned().collect()
    }

    /// `from_list` builds a table from its changes, oldest first.
    pub fn from_list(list: Vec<KnownChange>) -> Self {
        let mut table = Self::default();
        for change in list {
            table.insert(change);
        }
        table
    }
}
