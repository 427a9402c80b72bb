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

use crate::config::Sections;
use crate::config::Snapshot;

/// `Applied` is the result of applying an update.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Applied {
    /// The version is in force.
    InForce,
    /// The version is not above the one in force.
    NotNewer,
    /// The result does not have the announced hash; the manifest must be fetched.
    Mismatch,
    /// These sections are missing.
    Missing(Vec<SectionId>),
}

/// `Store` holds the snapshot in force and the highest version that was heard of.
#[derive(Debug, Default)]
pub struct Store {
    current: ArcSwap<Snapshot>,
    apply: Mutex<()>,
    heard: AtomicU64,
    source: ArcSwapOption<SocketAddr>,
    behind: Notify,
}

impl Store {
    /// `load` returns the snapshot in force.
    pub fn load(&self) -> Guard<Arc<Snapshot>> {
        self.current.load()
    }

    /// `load_full` returns the snapshot in force for longer use.
    pub fn load_full(&self) -> Arc<Snapshot> {
        self.current.load_full()
    }

    /// `version` returns the version in force.
    pub fn version(&self) -> ConfigVersion {
        self.current.load().version()
    }

    /// `heard` returns the highest version that was heard of.
    pub fn heard(&self) -> ConfigVersion {
        ConfigVersion(self.heard.load(Ordering::Relaxed))
    }

    /// `note` takes a version that another process acts on, and wakes the fetcher if it is higher.
    pub fn note(&self, version: ConfigVersion) {
        if version > self.version() {
            self.heard.fetch_max(version.0, Ordering::Relaxed);
            self.behind.notify_one();
        }
    }

    /// `note_from` is [`Self::note`] for a version of the peer at `address`.
    pub fn note_from(&self, version: ConfigVersion, address: SocketAddr) {
        if version > self.version() {
            self.source.store(Some(Arc::new(address)));
            self.note(version);
        }
    }

    /// `source` returns the peer that the highest version was last heard from, if any.
    pub fn source(&self) -> Option<SocketAddr> {
        self.source.load().as_deref().copied()
    }

    /// `wait_behind` waits until a higher version was heard of.
    pub async fn wait_behind(&self) {
        self.behind.notified().await;
    }

    /// `apply` puts an update in force if it is newer and complete. `extra` holds sections that
    /// were fetched for a manifest.
    pub fn apply(&self, update: &ConfigUpdate, extra: Vec<Section>) -> Applied {
        let _one_at_a_time = self.apply.lock().unwrap_or_else(PoisonError::into_inner);
        let current = self.current.load_full();
        let (version, built) = match update {
            ConfigUpdate::Changed { version, .. } | ConfigUpdate::Manifest { version, .. }
                if *version <= current.version() =>
            {
                return Applied::NotNewer;
            }
            ConfigUpdate::Changed {
                version,
                root,
                sections,
                removed,
            } => {
                let (held, manifest) = changed(&current, sections, removed);
                if sections::root_hash(&manifest) != *root {
                    return Applied::Mismatch;
                }
                (*version, Ok((held, manifest)))
            }
            ConfigUpdate::Manifest { version, manifest } => {
                (*version, complete(&current, manifest, extra))
            }
        };
        match built {
            Ok((held, manifest)) => {
                let next = Snapshot::new(version, held, manifest, &current);
                self.current.store(Arc::new(next));
                self.heard.fetch_max(version.0, Ordering::Relaxed);
                Applied::InForce
            }
            Err(missing) => Applied::Missing(missing),
        }
    }
}

fn changed(current: &Snapshot, new: &[Section], removed: &[SectionId]) -> (Sections, Manifest) {
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
    current: &Snapshot,
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
