//! The long poll of nodes for changes of the configuration and the directory.

use serde::{Deserialize, Serialize};
use shallothill_core::hash::ContentHash;
use shallothill_core::ids::NodeName;
use shallothill_core::sections::{Manifest, Section, SectionId};
use shallothill_core::version::ConfigVersion;
use shallothill_directory::{Cursor, Delta};

use crate::crash::CrashNotice;

/// `WatchRequest` asks for everything newer than the state that the node describes. The keeper
/// replies at the first change, or after `wait_ms`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WatchRequest {
    /// The name of the node that sends the request.
    pub node: NodeName,
    /// The configuration version that the node uses.
    pub config_version: ConfigVersion,
    /// The position in this keeper's directory up to which the node has its changes, if any.
    pub cursor: Option<Cursor>,
    /// Whether the node has received the complete directory of this keeper. A keeper that has just
    /// started knows only the nodes that have reported since.
    pub complete: bool,
    /// The value of `isolated` in the last reply of this keeper; only a change of it ends the wait.
    pub isolated: bool,
    /// How long the keeper may wait for a change before it replies, in milliseconds.
    pub wait_ms: u32,
    /// Whether the reply should contain a confirmation. Absent on the wire if false, as in earlier
    /// releases.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub confirm: bool,
}

/// `WatchReply` holds the changes since the state that the request describes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WatchReply {
    /// The configuration of the keeper, if it is newer than the node's.
    pub config: Option<ConfigUpdate>,
    /// The keeper's configuration version, which may be lower than the node's.
    pub config_version: ConfigVersion,
    /// The changes of the directory since the cursor, if there are any.
    pub directory: Option<Delta>,
    /// Crash notices of other nodes since the cursor.
    pub crashes: Vec<CrashNotice>,
    /// Whether the keeper has received nothing from a primary of the config log for a while. It may
    /// then lack accepted versions, so the node should watch another keeper.
    pub isolated: bool,
    /// The last confirmed version, if the request asked for it and there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub confirmed: Option<Confirmed>,
}

/// `Confirmed` states that no version above `version` was acknowledged before a time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Confirmed {
    /// The highest version that can have been acknowledged.
    pub version: ConfigVersion,
    /// When the keeper sent its question to the primary, in milliseconds after the arrival of the
    /// watch request; negative for a question before the arrival.
    pub relative_ms: i64,
}

impl WatchReply {
    /// `is_urgent` tells whether the reply must be sent at once. Changes of the directory alone may
    /// be delayed, so that one reply carries several.
    pub fn is_urgent(&self) -> bool {
        self.config.is_some() || !self.crashes.is_empty()
    }
}

/// `ConfigUpdate` turns the configuration that the node has into a newer version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ConfigUpdate {
    /// The sections that changed since the node's version.
    Changed {
        /// The version that the update leads to.
        version: ConfigVersion,
        /// The root hash of the new manifest, with which the node verifies the result.
        root: ContentHash,
        /// The sections that are new or changed in that version.
        sections: Vec<Section>,
        /// Sections that the new version no longer has.
        removed: Vec<SectionId>,
    },
    /// The hashes of all sections; the node fetches the sections that differ.
    Manifest {
        /// The version that the update leads to.
        version: ConfigVersion,
        /// The hash of each section.
        manifest: Manifest,
    },
}

/// `SectionsRequest` asks for sections of one version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SectionsRequest {
    /// The version that the sections belong to.
    pub version: ConfigVersion,
    /// The requested sections, few enough that the reply fits into one frame.
    pub ids: Vec<SectionId>,
}

/// `SectionsReply` holds the requested sections, if the sender still has the version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SectionsReply {
    /// The sections, or `None` when the sender has another version.
    pub sections: Option<Vec<Section>>,
    /// The sender's configuration version.
    pub config_version: ConfigVersion,
}
