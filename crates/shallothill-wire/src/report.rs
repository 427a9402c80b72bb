//! A node's report to a keeper and the answer.

use serde::{Deserialize, Serialize};
use shallothill_core::version::ConfigVersion;
use shallothill_directory::{EndpointLoad, NodeReport, ServiceSummary};

use crate::crash::CrashNotice;

/// `ReportRequest` is sent at least every 2 s, and at once when something changes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportRequest {
    /// The node's state for the directory.
    pub report: NodeReport,
    /// Load of the node's backend servers, for the medians of their services.
    pub loads: Vec<EndpointLoad>,
    /// Crashes since the last acknowledged report.
    pub crashes: Vec<CrashNotice>,
    /// The configuration version that the node acts on.
    pub config_version: ConfigVersion,
    /// Whether the node leaves and its entry is to be removed.
    pub leaving: bool,
}

/// `ReportReply` acknowledges a report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportReply {
    /// The keeper's configuration version.
    pub config_version: ConfigVersion,
    /// What is usual for the services that the node reported on.
    pub summaries: Vec<ServiceSummary>,
}
