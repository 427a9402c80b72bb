//! Messages between the operators' command line and a keeper's admin address, as MessagePack.
//!
//! | request | body | response |
//! |---|---|---|
//! | `POST /config/submit` | [`SubmitRequest`] | [`SubmitReply`] |
//! | `GET /config/show?version=N` | none | [`ShowReply`] |
//! | `GET /config/history?limit=N` | none | [`HistoryReply`] |
//! | `GET /status` | none | [`StatusReply`] |
//! | `GET /ledger/KEY` | none | [`KeyReply`] |

use serde::{Deserialize, Serialize};
use shallothill_core::config::Fault;
use shallothill_core::ids::{KeeperId, NodeName, Zone};
use shallothill_core::time::UnixMillis;
use shallothill_core::version::ConfigVersion;

/// `SubmitRequest` submits a configuration text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SubmitRequest {
    /// The version that the operator's text is based on.
    pub base: ConfigVersion,
    /// Identifies the change across resends.
    pub change_id: String,
    /// Who submits, for the history.
    pub operator: String,
    /// The whole text.
    pub text: String,
    /// The operator's own labels of the versions, in place of `base`.
    pub labels: Option<Labels>,
}

/// `Labels` are numbers that operators give to versions. They rise, and a change is accepted only
/// on top of the version that has the label `base`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Labels {
    /// The label of the version that the text is based on; 0 before the first one.
    pub base: u64,
    /// The label of the new version, above `base`.
    pub new: u64,
}

/// `CurrentText` is the accepted text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CurrentText {
    /// Its version.
    pub version: ConfigVersion,
    /// Its label, 0 without one.
    pub label: u64,
    /// The text.
    pub text: String,
}

/// `SubmitReply` is the answer to a submission; a resend gets the first answer again.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SubmitReply {
    /// The text was accepted and is durable.
    Accepted {
        /// Its version.
        version: ConfigVersion,
    },
    /// Another change came first.
    Conflict {
        /// The current version.
        current: ConfigVersion,
        /// The current text, to compare with.
        current_text: String,
    },
    /// The change id was used before for another text.
    ChangeIdReused {
        /// The version that the first text got, if it was accepted.
        version: Option<ConfigVersion>,
    },
    /// The text has faults; nothing changed.
    Invalid {
        /// All faults that were found.
        faults: Vec<Fault>,
    },
    /// The keeper cannot reach a quorum now; send the same change id again.
    Unavailable {
        /// Why.
        reason: String,
    },
}

/// `ShowReply` holds a configuration text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShowReply {
    /// The version.
    pub version: ConfigVersion,
    /// The text, or `None` when the version is not kept any more.
    pub text: Option<String>,
}

/// `HistoryItem` describes one accepted change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryItem {
    /// The version.
    pub version: ConfigVersion,
    /// The change id.
    pub change_id: String,
    /// Who submitted it.
    pub operator: String,
    /// When the primary proposed it, by its wall clock.
    pub accepted: UnixMillis,
    /// Size of the text in bytes.
    pub bytes: u64,
}

/// `HistoryReply` lists accepted changes, newest first.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryReply {
    /// The changes.
    pub items: Vec<HistoryItem>,
}

/// `DataCentreStatus` tells how far a data centre's nodes are.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DataCentreStatus {
    /// The data centre.
    pub zone: Zone,
    /// Nodes that report.
    pub nodes: u32,
    /// Nodes that act on the current version.
    pub in_force: u32,
    /// Nodes that act on an older version, or are not heard.
    pub behind: Vec<NodeName>,
}

/// `KeeperStatus` tells about one keeper.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeeperStatus {
    /// The keeper.
    pub keeper: KeeperId,
    /// Whether it answered lately.
    pub heard: bool,
    /// Whether it is the primary of the configuration log.
    pub primary: bool,
    /// Its configuration version, when heard.
    pub config_version: ConfigVersion,
}

/// `StatusReply` tells where the current configuration is in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StatusReply {
    /// The current version as the answering keeper knows it.
    pub config_version: ConfigVersion,
    /// Whether the answering keeper is in contact with a quorum.
    pub quorum: bool,
    /// One item a data centre.
    pub data_centres: Vec<DataCentreStatus>,
    /// One item a keeper.
    pub keepers: Vec<KeeperStatus>,
}

/// `KeyReply` tells what is known of an idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyReply {
    /// `free`, `in progress`, `completed`, `may have run`, `contested` or `refused`.
    pub state: String,
    /// The node that claimed it, if any.
    pub gate: Option<NodeName>,
    /// The stored HTTP status, if any.
    pub status: Option<u16>,
}
