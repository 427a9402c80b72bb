//! A node's long poll for configuration and directory changes.

use serde::{Deserialize, Serialize};
use shallothill_core::hash::ContentHash;
use shallothill_core::ids::NodeName;
use shallothill_core::sections::{Manifest, Section, SectionId};
use shallothill_core::version::ConfigVersion;
use shallothill_directory::{Cursor, Delta};

use crate::crash::CrashNotice;

/// `WatchRequest` waits until something is newer than what the node has, or `wait_ms` pass.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WatchRequest {
    /// The node.
    pub node: NodeName,
    /// The version that the node acts on.
    pub config_version: ConfigVersion,
    /// The position in this keeper's directory, if the node has one.
    pub cursor: Option<Cursor>,
    /// Whether the node has had the whole directory of this keeper, and not only the nodes that the
    /// keeper had heard of soon after its own start.
    pub complete: bool,
    /// Whether this keeper said last that it is isolated; only a change of that is news.
    pub isolated: bool,
    /// How long the keeper may wait before it answers without news, in milliseconds.
    pub wait_ms: u32,
}

/// `WatchReply` holds what is newer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WatchReply {
    /// The configuration that the keeper has, if it is newer than the node's.
    pub config: Option<ConfigUpdate>,
    /// The keeper's configuration version, which may be lower than the node's.
    pub config_version: ConfigVersion,
    /// Changes of the directory.
    pub directory: Option<Delta>,
    /// Crash notices of other nodes since the cursor.
    pub crashes: Vec<CrashNotice>,
    /// Whether the keeper has heard no primary of the config log for a while, so that it may miss
    /// accepted versions and another keeper should be followed.
    pub isolated: bool,
}

impl WatchReply {
    /// `is_urgent` tells whether the reply holds more than changes of the directory, which may wait
    /// a moment for others.
    pub fn is_urgent(&self) -> bool {
        self.config.is_some() || !self.crashes.is_empty()
    }
}

/// `ConfigUpdate` leads from a version that the node has to a newer one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ConfigUpdate {
    /// The sections that changed since the node's version.
    Changed {
        /// The new version.
        version: ConfigVersion,
        /// The root hash of the new manifest, to check the result.
        root: ContentHash,
        /// New and changed sections.
        sections: Vec<Section>,
        /// Sections that are gone.
        removed: Vec<SectionId>,
    },
    /// The hashes of all sections; the node fetches those that it lacks.
    Manifest {
        /// The new version.
        version: ConfigVersion,
        /// All sections' hashes.
        manifest: Manifest,
    },
}

/// `SectionsRequest` asks for sections of one version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SectionsRequest {
    /// The version.
    pub version: ConfigVersion,
    /// The sections; few enough for one frame.
    pub ids: Vec<SectionId>,
}

/// `SectionsReply` holds sections, or nothing when the version is no longer held.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SectionsReply {
    /// The sections, or `None` when the sender now holds another version.
    pub sections: Option<Vec<Section>>,
    /// The sender's version.
    pub config_version: ConfigVersion,
}
