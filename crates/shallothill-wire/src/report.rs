//! The report of a node to a keeper, and the reply.

use serde::{Deserialize, Serialize};
use shallothill_core::version::ConfigVersion;
use shallothill_directory::{EndpointLoad, NodeReport, ServiceSummary};

use crate::crash::CrashNotice;

/// `ReportRequest` is sent by a node at least every 2 s, and immediately after a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportRequest {
    /// The node's state for the directory.
    pub report: NodeReport,
    /// The load of the node's backend servers, from which the keeper computes medians for their
    /// services.
    pub loads: Vec<EndpointLoad>,
    /// Crashes since the last acknowledged report.
    pub crashes: Vec<CrashNotice>,
    /// The configuration version that the node uses.
    pub config_version: ConfigVersion,
    /// Whether the node shuts down, so that its directory entry is to be removed.
    pub leaving: bool,
}

/// `ReportReply` acknowledges a report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportReply {
    /// The keeper's configuration version.
    pub config_version: ConfigVersion,
    /// The summaries of the services that the node reported on, to compare its backend servers
    /// with.
    pub summaries: Vec<ServiceSummary>,
}
