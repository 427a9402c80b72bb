//! Records which sections changed between recent versions.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use shallothill_core::sections::{Manifest, SectionId};
use shallothill_core::version::ConfigVersion;

/// `STEPS_MAX` is the number of versions that a node may be behind and still get changed sections
/// only.
pub const STEPS_MAX: usize = 1_000;

/// `SECTION_IDS_MAX` bounds the section ids held, about 10 MB; a change of all sections has 1,600.
const SECTION_IDS_MAX: usize = 200_000;

/// `Step` lists the sections that differ between two versions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Step {
    /// The version before the step.
    pub from: ConfigVersion,
    /// The version after the step.
    pub to: ConfigVersion,
    /// Added, changed and removed sections.
    pub ids: Vec<SectionId>,
}

/// `SectionHistory` holds the most recent steps, each starting where the one before it ends.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SectionHistory {
    steps: VecDeque<Arc<Step>>,
    ids: usize,
}

impl SectionHistory {
    /// `push` appends the step between two manifests. A step that does not start at the last
    /// version replaces the history.
    pub fn push(&mut self, from: (ConfigVersion, &Manifest), to: (ConfigVersion, &Manifest)) {
        if self.steps.back().is_some_and(|s| s.to != from.0) {
            self.steps.clear();
            self.ids = 0;
        }
        let changed =
            to.1.iter()
                .filter(|(id, hash)| from.1.get(*id) != Some(hash));
        let removed = from.1.keys().filter(|id| !to.1.contains_key(*id));
        let ids: Vec<SectionId> = changed.map(|(id, _)| id).chain(removed).cloned().collect();
        self.ids += ids.len();
        self.steps.push_back(Arc::new(Step {
            from: from.0,
            to: to.0,
            ids,
        }));
        while self.steps.len() > STEPS_MAX || self.ids > SECTION_IDS_MAX {
            let Some(oldest) = self.steps.pop_front() else {
                return;
            };
            self.ids -= oldest.ids.len();
        }
    }

    /// `changed_since` returns all sections that changed after `version`, or `None` when no step
    /// starts at it.
    pub fn changed_since(&self, version: ConfigVersion) -> Option<BTreeSet<&SectionId>> {
        let start = self.steps.iter().position(|s| s.from == version)?;
        Some(self.steps.iter().skip(start).flat_map(|s| &s.ids).collect())
    }

    /// `len` returns the number of steps.
    pub fn len(&self) -> usize {
        self.steps.len()
    }

    /// `is_empty` tells whether the history has no steps.
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// `truncate` drops the steps that end after `version`.
    pub fn truncate(&mut self, version: ConfigVersion) {
        while self.steps.back().is_some_and(|s| s.to > version) {
            if let Some(step) = self.steps.pop_back() {
                self.ids -= step.ids.len();
            }
        }
    }

    /// `last_version` returns the version that the last step ends at; `None` without steps.
    pub fn last_version(&self) -> Option<ConfigVersion> {
        self.steps.back().map(|s| s.to)
    }
}
