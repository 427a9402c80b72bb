//! Entries of the config log and the outcomes of applying them.

use serde::{Deserialize, Serialize};
use shallothill_config::TextPatch;
use shallothill_core::hash::ContentHash;
use shallothill_core::time::UnixMillis;
use shallothill_core::version::ConfigVersion;
use shallothill_wire::operator::Labels;

/// `Change` is an entry of the config log: a submitted text as a patch of its base version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Identifies the change; a resend has the same id.
    pub change_id: String,
    /// Name of the operator who submitted it.
    pub operator: String,
    /// The version whose text the patch applies to; it must be current when the entry is applied.
    pub base: ConfigVersion,
    /// The highest version that nodes act on, as known to the proposing keeper; the new version is
    /// above it. It exceeds the log's version only after the loss of all data folders.
    pub in_force: ConfigVersion,
    /// Hash of the complete new text; distinguishes a resend from another text with the same id.
    pub text_hash: ContentHash,
    /// Wall-clock time of the proposal at the proposing keeper.
    pub proposed: UnixMillis,
    /// Changes the text of `base` into the new text.
    pub patch: TextPatch,
    /// The operator's labels of the base and the new version; checked in addition to `base`.
    pub labels: Option<Labels>,
}

/// `Outcome` is the result of applying a change; a resend gets the outcome of the first submission.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The change was accepted as this version.
    Accepted(ConfigVersion),
    /// The base is not current; this version is.
    Conflict(ConfigVersion),
    /// The id was used for another text, which got this version; `None` if that was not accepted.
    Reused(Option<ConfigVersion>),
}
