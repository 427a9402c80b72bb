//! The outcomes of recent changes by their ids.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};
use shallothill_core::hash::ContentHash;

use super::change::Outcome;

/// `CHANGES_MAX` is the number of change ids that are remembered, about one day of changes.
pub const CHANGES_MAX: usize = 10_000;

/// `KnownChange` is a change id with its text's hash and what became of it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KnownChange {
    /// The change id.
    pub change_id: String,
    /// Hash of the whole submitted text.
    pub text_hash: ContentHash,
    /// The first answer.
    pub outcome: Outcome,
}

/// `ChangeTable` remembers the last [`CHANGES_MAX`] changes.
#[derive(Clone, Debug, Default)]
pub struct ChangeTable {
    order: VecDeque<String>,
    by_id: HashMap<String, KnownChange>,
}

impl ChangeTable {
    /// `insert` remembers a change, and forgets the oldest one when the table is full.
    pub fn insert(&mut self, known: KnownChange) {
        if self.order.len() >= CHANGES_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_id.remove(&oldest);
        }
        self.order.push_back(known.change_id.clone());
        self.by_id.insert(known.change_id.clone(), known);
    }

    /// `answer` returns the outcome for a change that may be a resend, or `None` for a new id.
    pub fn answer(&self, change_id: &str, text_hash: ContentHash) -> Option<Outcome> {
        let known = self.by_id.get(change_id)?;
        if known.text_hash == text_hash {
            return Some(known.outcome);
        }
        Some(match known.outcome {
            Outcome::Accepted(version) => Outcome::Reused(Some(version)),
            _ => Outcome::Reused(None),
        })
    }

    /// `len` returns the number of remembered changes.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// `is_empty` tells whether there are none.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// `to_list` returns the changes, oldest first.
    pub fn to_list(&self) -> Vec<KnownChange> {
        let known = self.order.iter().filter_map(|id| self.by_id.get(id));
        known.cloned().collect()
    }

    /// `from_list` builds a table from its changes, oldest first.
    pub fn from_list(list: Vec<KnownChange>) -> Self {
        let mut table = Self::default();
        for known in list {
            table.insert(known);
        }
        table
    }
}
