//! Entries of the config log and their outcomes.

use serde::{Deserialize, Serialize};
use shallothill_config::TextPatch;
use shallothill_core::hash::ContentHash;
use shallothill_core::time::UnixMillis;
use shallothill_core::version::ConfigVersion;
use shallothill_wire::operator::Labels;

/// `Change` is an entry of the config log: a submitted text as a patch of its base version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Identifies the change across resends.
    pub change_id: String,
    /// Who submitted it.
    pub operator: String,
    /// The version that the patch applies to.
    pub base: ConfigVersion,
    /// The highest version that nodes act on, as the proposing keeper knows it; the new version is
    /// above it. It exceeds the log's version only where all data folders were lost.
    pub in_force: ConfigVersion,
    /// Hash of the whole new text, to tell a resend from another text under the same id.
    pub text_hash: ContentHash,
    /// When it was proposed, by the proposing keeper's wall clock.
    pub proposed: UnixMillis,
    /// The new text relative to the base.
    pub patch: TextPatch,
    /// The operator's labels, which are checked as well as the base.
    pub labels: Option<Labels>,
}

/// `Outcome` is what became of a change; a resend gets the outcome of the first one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The text got this version.
    Accepted(ConfigVersion),
    /// The version was current already, and not the base.
    Conflict(ConfigVersion),
    /// The id belongs to another text, which got the version if it was accepted.
    Reused(Option<ConfigVersion>),
}
