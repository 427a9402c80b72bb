//! The configuration version that this keeper serves to nodes and other keepers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use shallothill_core::config::Config;
use shallothill_core::hash::ContentHash;
use shallothill_core::sections;
use shallothill_core::sections::{Manifest, Section, SectionId};
use shallothill_core::version::ConfigVersion;
use shallothill_wire::watch::ConfigUpdate;

use crate::config_state::SectionHistory;

/// `CHANGED_MAX_BYTES` bounds the sections in an update and in a reply to a request for sections,
/// so that each message stays under the frame limit.
pub const CHANGED_MAX_BYTES: usize = 4 * 1024 * 1024;

/// `PublishedConfig` is one configuration version, split into sections for distribution.
#[derive(Clone, Debug)]
pub struct PublishedConfig {
    version: ConfigVersion,
    config: Arc<Config>,
    sections: BTreeMap<SectionId, (Arc<Section>, usize)>,
    manifest: Manifest,
    root: ContentHash,
    history: SectionHistory,
}

impl Default for PublishedConfig {
    fn default() -> Self {
        Self::new(
            ConfigVersion(0),
            Config::default(),
            SectionHistory::default(),
        )
    }
}

impl PublishedConfig {
    /// `new` splits `config` into sections. `history` lists earlier changes; it may end at
    /// `version`.
    pub fn new(
        version: ConfigVersion,
        config: impl Into<Arc<Config>>,
        history: SectionHistory,
    ) -> Self {
        let config = config.into();
        let sections = sections::split(&config);
        Self::from_sections(version, config, sections, history)
    }

    /// `next_version` builds a newer configuration and appends the step to it to the history.
    pub fn next_version(&self, version: ConfigVersion, config: impl Into<Arc<Config>>) -> Self {
        let mut next = Self::new(version, config, self.history.clone());
        next.history
            .push((self.version, &self.manifest), (version, &next.manifest));
        next
    }

    /// `apply_update` builds the configuration that an update from another process describes. For a
    /// manifest, `fetched` holds the sections of [`Self::missing_sections`].
    ///
    /// Returns `None` when the result does not match the update's hashes.
    pub fn apply_update(&self, update: ConfigUpdate, fetched: Vec<Section>) -> Option<Self> {
        let mut held: BTreeMap<SectionId, Section> = self
            .sections
            .iter()
            .map(|(id, (section, _))| (id.clone(), section.as_ref().clone()))
            .collect();
        let (version, root) = match update {
            ConfigUpdate::Changed {
                version,
                root,
                sections,
                removed,
            } => {
                for id in removed {
                    held.remove(&id);
                }
                held.extend(sections.into_iter().map(|s| (s.id(), s)));
                (version, root)
            }
            ConfigUpdate::Manifest { version, manifest } => {
                held.extend(fetched.into_iter().map(|s| (s.id(), s)));
                held.retain(|id, _| manifest.contains_key(id));
                (version, sections::root_hash(&manifest))
            }
        };
        let next = self.next_version(version, sections::join(held.values()));
        (next.root == root).then_some(next)
    }

    /// `missing_sections` lists the sections of `manifest` that this configuration does not hold.
    pub fn missing_sections(&self, manifest: &Manifest) -> Vec<SectionId> {
        let missing = manifest
            .iter()
            .filter(|(id, hash)| self.manifest.get(*id) != Some(hash));
        missing.map(|(id, _)| id.clone()).collect()
    }

    /// `update_since` returns the update from `version` to this one, or `None` when this one is not
    /// newer.
    pub fn update_since(&self, version: ConfigVersion) -> Option<ConfigUpdate> {
        if version >= self.version {
            return None;
        }
        Some(
            self.changed_since(version)
                .unwrap_or_else(|| ConfigUpdate::Manifest {
                    version: self.version,
                    manifest: self.manifest.clone(),
                }),
        )
    }

    /// `sections` returns the requested sections that exist, as many as fit one message.
    pub fn sections(&self, ids: &[SectionId]) -> Vec<Section> {
        let mut bytes = 0;
        let found = ids.iter().filter_map(|id| self.sections.get(id));
        let fitting = found.take_while(|(_, size)| {
            bytes += size;
            bytes <= CHANGED_MAX_BYTES
        });
        fitting
            .map(|(section, _)| section.as_ref().clone())
            .collect()
    }

    /// `version` returns the configuration version, 0 before the first one.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// `config` returns the configuration that the sections were split from.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// `history` returns the sections that changed in recent versions.
    pub fn history(&self) -> &SectionHistory {
        &self.history
    }

    /// `root` returns the hash of the manifest, by which configurations are compared.
    pub fn root(&self) -> ContentHash {
        self.root
    }

    fn changed_since(&self, version: ConfigVersion) -> Option<ConfigUpdate> {
        let mut bytes = 0;
        let mut changed = Vec::new();
        let mut removed = Vec::new();
        // A node at version 0 has no configuration, so it also lacks the sections that this version
        // shares with the default one.
        let ids: BTreeSet<&SectionId> = if version == ConfigVersion(0) {
            self.sections.keys().collect()
        } else {
            self.history.changed_since(version)?
        };
        for id in ids {
            match self.sections.get(id) {
                Some((section, size)) => {
                    bytes += size;
                    changed.push(section);
                }
                None => removed.push(id.clone()),
            }
        }
        (bytes <= CHANGED_MAX_BYTES).then(|| ConfigUpdate::Changed {
            version: self.version,
            root: self.root,
            sections: changed.iter().map(|s| s.as_ref().clone()).collect(),
            removed,
        })
    }

    fn from_sections(
        version: ConfigVersion,
        config: Arc<Config>,
        list: Vec<Section>,
        history: SectionHistory,
    ) -> Self {
        let manifest = sections::manifest(&list);
        let size = |s: &Section| rmp_serde::to_vec(s).map_or(0, |b| b.len());
        let sized = list.into_iter().map(|s| {
            let bytes = size(&s);
            (s.id(), (Arc::new(s), bytes))
        });
        let sections = sized.collect();
        Self {
            version,
            config,
            sections,
            root: sections::root_hash(&manifest),
            manifest,
            history,
        }
    }
}
