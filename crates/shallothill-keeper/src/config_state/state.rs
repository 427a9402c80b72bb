//! The current text with its version and the history of accepted changes.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use shallothill_config::TextPatch;
use shallothill_core::hash::ContentHash;
use shallothill_core::version::ConfigVersion;
use shallothill_wire::operator::HistoryItem;

use super::change::{Change, Outcome};
use super::change_table::{ChangeTable, KnownChange};
use super::section_history::SectionHistory;

/// `HISTORY_MAX` is the number of accepted changes that operators can list.
pub const HISTORY_MAX: usize = 1_000;

/// `UNDO_PATCHES_MAX_BYTES` bounds the patches from which former texts are restored.
const UNDO_PATCHES_MAX_BYTES: usize = 16 * 1024 * 1024;

/// `Accepted` is an accepted change with the patch that restores the text before it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Accepted {
    item: HistoryItem,
    undo: Option<TextPatch>,
}

/// `Snapshot` is the complete state in the form that is stored and sent to other keepers.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Snapshot {
    version: ConfigVersion,
    label: u64,
    text: Arc<str>,
    changes: Vec<KnownChange>,
    history: VecDeque<Accepted>,
    /// The sections that changed in recent versions.
    pub sections: SectionHistory,
}

/// `ConfigState` is the replicated state; it applies the entries of the config log in log order.
#[derive(Clone, Debug)]
pub struct ConfigState {
    version: ConfigVersion,
    label: u64,
    text: Arc<str>,
    changes: ChangeTable,
    history: VecDeque<Accepted>,
    undo_bytes: usize,
}

impl Default for ConfigState {
    fn default() -> Self {
        Self {
            version: ConfigVersion(0),
            label: 0,
            text: Arc::from(""),
            changes: ChangeTable::default(),
            history: VecDeque::new(),
            undo_bytes: 0,
        }
    }
}

impl ConfigState {
    /// `version` returns the version of the current text, 0 before the first accepted change.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// `label` returns the operator's label of the current version, 0 without one.
    pub fn label(&self) -> u64 {
        self.label
    }

    /// `text` returns the current text, empty before the first accepted change.
    pub fn text(&self) -> Arc<str> {
        Arc::clone(&self.text)
    }

    /// `outcome_of` returns the outcome of a change that was applied before, see
    /// [`ChangeTable::outcome_of`].
    pub fn outcome_of(&self, change_id: &str, text_hash: ContentHash) -> Option<Outcome> {
        self.changes.outcome_of(change_id, text_hash)
    }

    /// `apply` applies an entry and returns its outcome; for a resend, that of the first
    /// submission.
    pub fn apply(&mut self, change: &Change) -> Outcome {
        if let Some(outcome) = self.changes.outcome_of(&change.change_id, change.text_hash) {
            return outcome;
        }
        let hash_matches = |text: &String| ContentHash::of(text.as_bytes()) == change.text_hash;
        let labels_match = change
            .labels
            .is_none_or(|l| l.base == self.label && l.new > l.base);
        let text = if change.base == self.version && labels_match {
            change.patch.apply(&self.text).ok().filter(hash_matches)
        } else {
            None
        };
        let outcome = match text {
            Some(text) => self.accept(change, text),
            None => Outcome::Conflict(self.version),
        };
        self.changes.insert(KnownChange {
            change_id: change.change_id.clone(),
            text_hash: change.text_hash,
            outcome,
        });
        outcome
    }

    /// `text_at` returns the text of `version`, or `None` if it never existed or its undo patches
    /// were dropped.
    pub fn text_at(&self, version: ConfigVersion) -> Option<String> {
        if version == ConfigVersion(0) {
            return Some(String::new());
        }
        let mut text = self.text.as_ref().to_owned();
        for accepted in self.history.iter().rev() {
            if accepted.item.version == version {
                return Some(text);
            }
            text = accepted.undo.as_ref()?.apply(&text).ok()?;
        }
        None
    }

    /// `history` returns up to `limit` accepted changes, newest first.
    pub fn history(&self, limit: usize) -> Vec<HistoryItem> {
        let newest_first = self.history.iter().rev().take(limit);
        newest_first.map(|a| a.item.clone()).collect()
    }

    /// `remembered_changes` returns the number of change ids whose outcomes are remembered.
    pub fn remembered_changes(&self) -> usize {
        self.changes.len()
    }

    /// `snapshot` returns the complete state; `sections` lets other keepers serve changed sections
    /// to nodes that are behind.
    pub fn snapshot(&self, sections: SectionHistory) -> Snapshot {
        Snapshot {
            version: self.version,
            label: self.label,
            text: Arc::clone(&self.text),
            changes: self.changes.to_list(),
            history: self.history.clone(),
            sections,
        }
    }

    /// `restore` rebuilds the state from a snapshot; it drops the snapshot's sections.
    pub fn restore(snapshot: Snapshot) -> Self {
        let undo = snapshot.history.iter().filter_map(|a| a.undo.as_ref());
        let undo_bytes = undo.map(|u| u.middle.len()).sum();
        Self {
            version: snapshot.version,
            label: snapshot.label,
            text: snapshot.text,
            changes: ChangeTable::from_list(snapshot.changes),
            history: snapshot.history,
            undo_bytes,
        }
    }

    fn accept(&mut self, change: &Change, text: String) -> Outcome {
        self.version = self.version.max(change.in_force).next();
        self.label = change.labels.map_or(self.label, |l| l.new);
        let undo = TextPatch::diff(&text, &self.text);
        self.undo_bytes += undo.middle.len();
        self.history.push_back(Accepted {
            item: HistoryItem {
                version: self.version,
                change_id: change.change_id.clone(),
                operator: change.operator.clone(),
                accepted: change.proposed,
                bytes: text.len() as u64,
            },
            undo: Some(undo),
        });
        self.text = Arc::from(text);
        if self.history.len() > HISTORY_MAX
            && let Some(undo) = self.history.pop_front().and_then(|a| a.undo)
        {
            self.undo_bytes -= undo.middle.len();
        }
        for accepted in &mut self.history {
            if self.undo_bytes <= UNDO_PATCHES_MAX_BYTES {
                break;
            }
            if let Some(undo) = accepted.undo.take() {
                self.undo_bytes -= undo.middle.len();
            }
        }
        Outcome::Accepted(self.version)
    }
}
