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
    /// Identifies the change, so that a resend is not applied again.
    pub change_id: String,
    /// The name of the operator, for the history.
    pub operator: String,
    /// The complete configuration text.
    pub text: String,
    /// The operator's own labels of the versions; when given, they replace `base`.
    pub labels: Option<Labels>,
}

/// `Labels` holds the numbers that operators assign to versions. Labels increase, and a change is
/// accepted only if the current version has the label `base`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Labels {
    /// The label of the version that the text is based on; 0 before the first one.
    pub base: u64,
    /// The label of the new version, greater than `base`.
    pub new: u64,
}

/// `CurrentText` is the accepted configuration text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CurrentText {
    /// The version of the text.
    pub version: ConfigVersion,
    /// Its label, or 0 if none was assigned.
    pub label: u64,
    /// The complete text.
    pub text: String,
}

/// `SubmitReply` is the reply to a submission; a resend with the same change id and text gets the
/// same reply.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SubmitReply {
    /// The text was accepted and is durable.
    Accepted {
        /// The version that the text got.
        version: ConfigVersion,
    },
    /// The text is not based on the current version, because another change was accepted.
    Conflict {
        /// The version that the next submission must be based on.
        current: ConfigVersion,
        /// The current text, to compare with.
        current_text: String,
    },
    /// The change id was already used for another text.
    ChangeIdReused {
        /// The version of that text, if it was accepted.
        version: Option<ConfigVersion>,
    },
    /// The text is not valid; the configuration is unchanged.
    Invalid {
        /// All faults that were found.
        faults: Vec<Fault>,
    },
    /// The keeper cannot reach a quorum now; send the same change id again.
    Unavailable {
        /// The reason, for the operator.
        reason: String,
    },
}

/// `ShowReply` holds a configuration text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShowReply {
    /// The version that is shown.
    pub version: ConfigVersion,
    /// The text, or `None` when the keeper no longer stores the version.
    pub text: Option<String>,
}

/// `HistoryItem` describes one accepted change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryItem {
    /// The version that the change created.
    pub version: ConfigVersion,
    /// The id from its [`SubmitRequest`].
    pub change_id: String,
    /// The name of the operator who submitted it.
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

/// `DataCentreStatus` counts the nodes of a data centre by the configuration they use.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DataCentreStatus {
    /// The data centre and its region.
    pub zone: Zone,
    /// The number of nodes that report to a keeper.
    pub nodes: u32,
    /// The number of nodes that use the current version.
    pub in_force: u32,
    /// Nodes that use an older version, or whose reports are missing.
    pub behind: Vec<NodeName>,
}

/// `KeeperStatus` is the status of one keeper, as known to the answering one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeeperStatus {
    /// The id of the keeper.
    pub keeper: KeeperId,
    /// Whether it replied to the answering keeper.
    pub heard: bool,
    /// Whether it is the primary of the configuration log.
    pub primary: bool,
    /// Its configuration version, or 0 when it did not reply.
    pub config_version: ConfigVersion,
}

/// `StatusReply` reports which nodes and keepers use the current configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StatusReply {
    /// The newest version known to the answering keeper.
    pub config_version: ConfigVersion,
    /// Whether the answering keeper follows a primary of the config log that has a quorum.
    pub quorum: bool,
    /// The status of each data centre.
    pub data_centres: Vec<DataCentreStatus>,
    /// The status of each keeper.
    pub keepers: Vec<KeeperStatus>,
}

/// `KeyReply` reports the state of an idempotency key in the ledger.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyReply {
    /// `free`, `in progress`, `completed`, `may have run`, `contested` or `refused`.
    pub state: String,
    /// The node that claimed it, if any.
    pub gate: Option<NodeName>,
    /// The stored HTTP status, if any.
    pub status: Option<u16>,
}
