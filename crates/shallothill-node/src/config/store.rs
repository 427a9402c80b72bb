//! The configuration that the node acts on, which only ever moves to higher versions.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::{ArcSwap, ArcSwapOption, Guard};
use shallothill_core::sections;
use shallothill_core::sections::{Manifest, Section, SectionId};
use shallothill_core::version::ConfigVersion;
use shallothill_wire::watch::ConfigUpdate;
use tokio::sync::Notify;

use crate::config::ConfigSnapshot;
use crate::config::Sections;

/// `ApplyResult` is the result of applying an update.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyResult {
    /// The version is in force.
    InForce,
    /// The version is not above the one in force.
    NotNewer,
    /// The result does not have the announced hash; the manifest must be fetched.
    HashMismatch,
    /// These sections are missing.
    MissingSections(Vec<SectionId>),
}

/// `ConfigStore` holds the snapshot in force and the highest version that was heard of.
#[derive(Debug, Default)]
pub struct ConfigStore {
    current: ArcSwap<ConfigSnapshot>,
    apply: Mutex<()>,
    heard: AtomicU64,
    source: ArcSwapOption<SocketAddr>,
    behind: Notify,
}

impl ConfigStore {
    /// `load` returns the snapshot in force.
    pub fn load(&self) -> Guard<Arc<ConfigSnapshot>> {
        self.current.load()
    }

    /// `load_full` returns the snapshot in force for longer use.
    pub fn load_full(&self) -> Arc<ConfigSnapshot> {
        self.current.load_full()
    }

    /// `version` returns the version in force.
    pub fn version(&self) -> ConfigVersion {
        self.current.load().version()
    }

    /// `heard` returns the highest version that was heard of.
    pub fn highest_known_version(&self) -> ConfigVersion {
        ConfigVersion(self.heard.load(Ordering::Relaxed))
    }

    /// `note` takes a version that another process acts on, and wakes the fetcher if it is higher.
    pub fn record_version(&self, version: ConfigVersion) {
        if version > self.version() {
            self.heard.fetch_max(version.0, Ordering::Relaxed);
            self.behind.notify_one();
        }
    }

    /// `record_peer_version` is [`Self::record_version`] for a version of the peer at `address`.
    pub fn record_peer_version(&self, version: ConfigVersion, address: SocketAddr) {
        if version > self.version() {
            self.source.store(Some(Arc::new(address)));
            self.record_version(version);
        }
    }

    /// `source` returns the peer that the highest version was last heard from, if any.
    pub fn newest_version_peer(&self) -> Option<SocketAddr> {
        self.source.load().as_deref().copied()
    }

    /// `wait_for_newer_version` waits until a higher version was heard of.
    pub async fn wait_for_newer_version(&self) {
        self.behind.notified().await;
    }

    /// `apply` puts an update in force if it is newer and complete. `extra` holds sections that
    /// were fetched for a manifest.
    pub fn apply(&self, update: &ConfigUpdate, extra: Vec<Section>) -> ApplyResult {
        let _one_at_a_time = self.apply.lock().unwrap_or_else(PoisonError::into_inner);
        let current = self.current.load_full();
        let (version, built) = match update {
            ConfigUpdate::Changed { version, .. } | ConfigUpdate::Manifest { version, .. }
                if *version <= current.version() =>
            {
                return ApplyResult::NotNewer;
            }
            ConfigUpdate::Changed {
                version,
                root,
                sections,
                removed,
            } => {
                let (held, manifest) = changed(&current, sections, removed);
                if sections::root_hash(&manifest) != *root {
                    return ApplyResult::HashMismatch;
                }
                (*version, Ok((held, manifest)))
            }
            ConfigUpdate::Manifest { version, manifest } => {
                (*version, complete(&current, manifest, extra))
            }
        };
        match built {
            Ok((held, manifest)) => {
                let next = ConfigSnapshot::new(version, held, manifest, &current);
                self.current.store(Arc::new(next));
                self.heard.fetch_max(version.0, Ordering::Relaxed);
                ApplyResult::InForce
            }
            Err(missing) => ApplyResult::MissingSections(missing),
        }
    }
}

fn changed(
    current: &ConfigSnapshot,
    new: &[Section],
    removed: &[SectionId],
) -> (Sections, Manifest) {
    let mut held = current.sections().clone();
    let mut manifest = current.manifest().clone();
    for id in removed {
        held.remove(id);
        manifest.remove(id);
    }
    for section in new {
        manifest.insert(section.id(), section.content_hash());
        held.insert(section.id(), Arc::new(section.clone()));
    }
    (held, manifest)
}

// Takes each section of the manifest from what is held or was fetched, by its hash.
fn complete(
    current: &ConfigSnapshot,
    manifest: &Manifest,
    extra: Vec<Section>,
) -> Result<(Sections, Manifest), Vec<SectionId>> {
    let mut held = Sections::new();
    for section in extra {
        if manifest.get(&section.id()) == Some(&section.content_hash()) {
            held.insert(section.id(), Arc::new(section));
        }
    }
    let mut missing = Vec::new();
    for (id, hash) in manifest {
        if held.contains_key(id) {
            continue;
        }
        match current.sections().get(id) {
            Some(section) if current.manifest().get(id) == Some(hash) => {
                held.insert(id.clone(), Arc::clone(section));
            }
            _ => missing.push(id.clone()),
        }
    }
    if missing.is_empty() {
        Ok((held, manifest.clone()))
    } else {
        Err(missing)
    }
}
