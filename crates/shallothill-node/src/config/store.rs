//! The configuration in force on the node, whose version only increases.

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

/// `ApplyResult` is the result of [`ConfigStore::apply`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyResult {
    /// The version of the update is in force.
    InForce,
    /// The version of the update is not above the one in force.
    NotNewer,
    /// The updated configuration does not have the root hash of the update; fetch the manifest.
    HashMismatch,
    /// These sections are needed to complete the manifest; fetch them and apply it again.
    MissingSections(Vec<SectionId>),
}

/// `ConfigStore` holds the snapshot in force and the highest version known from keepers and peers.
#[derive(Debug, Default)]
pub struct ConfigStore {
    current: ArcSwap<ConfigSnapshot>,
    apply_lock: Mutex<()>,
    highest_known: AtomicU64,
    newest_peer: ArcSwapOption<SocketAddr>,
    newer_known: Notify,
}

impl ConfigStore {
    /// `load` returns the snapshot in force for short use; don't keep it across an `await`.
    pub fn load(&self) -> Guard<Arc<ConfigSnapshot>> {
        self.current.load()
    }

    /// `load_full` returns the snapshot in force; unlike that of `load` it may be kept.
    pub fn load_full(&self) -> Arc<ConfigSnapshot> {
        self.current.load_full()
    }

    /// `version` returns the version in force; 0 before the first configuration.
    pub fn version(&self) -> ConfigVersion {
        self.current.load().version()
    }

    /// `highest_known_version` returns the highest version that a keeper or peer is known to have.
    pub fn highest_known_version(&self) -> ConfigVersion {
        ConfigVersion(self.highest_known.load(Ordering::Relaxed))
    }

    /// `record_version` records the version of another process and wakes the fetcher if it is above
    /// the one in force.
    pub fn record_version(&self, version: ConfigVersion) {
        if version > self.version() {
            self.highest_known.fetch_max(version.0, Ordering::Relaxed);
            self.newer_known.notify_one();
        }
    }

    /// `record_peer_version` is [`Self::record_version`] for a version of the peer at `address`.
    pub fn record_peer_version(&self, version: ConfigVersion, address: SocketAddr) {
        if version > self.version() {
            self.newest_peer.store(Some(Arc::new(address)));
            self.record_version(version);
        }
    }

    /// `newest_version_peer` returns the last peer that had a version above the one in force.
    pub fn newest_version_peer(&self) -> Option<SocketAddr> {
        self.newest_peer.load().as_deref().copied()
    }

    /// `wait_for_newer_version` waits until a version above the one in force was recorded.
    pub async fn wait_for_newer_version(&self) {
        self.newer_known.notified().await;
    }

    /// `apply` puts an update in force if it is newer and complete. `fetched` holds the sections
    /// that were fetched for a manifest.
    pub fn apply(&self, update: &ConfigUpdate, fetched: Vec<Section>) -> ApplyResult {
        let _guard = self
            .apply_lock
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
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
                let (held, manifest) = apply_changes(&current, sections, removed);
                if sections::root_hash(&manifest) != *root {
                    return ApplyResult::HashMismatch;
                }
                (*version, Ok((held, manifest)))
            }
            ConfigUpdate::Manifest { version, manifest } => {
                (*version, collect_sections(&current, manifest, fetched))
            }
        };
        match built {
            Ok((held, manifest)) => {
                let next = ConfigSnapshot::new(version, held, manifest, &current);
                self.current.store(Arc::new(next));
                self.highest_known.fetch_max(version.0, Ordering::Relaxed);
                ApplyResult::InForce
            }
            Err(missing) => ApplyResult::MissingSections(missing),
        }
    }
}

fn apply_changes(
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

// Takes each section of the manifest, by its hash, from `fetched` or the current snapshot. Fails
// with the sections that neither has.
fn collect_sections(
    current: &ConfigSnapshot,
    manifest: &Manifest,
    fetched: Vec<Section>,
) -> Result<(Sections, Manifest), Vec<SectionId>> {
    let mut held = Sections::new();
    for section in fetched {
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
