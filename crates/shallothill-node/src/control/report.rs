//! Reports the state of the node's backend servers to a keeper.

use std::sync::Arc;
use std::time::Duration;

use shallothill_core::ids::{NodeName, Zone};
use shallothill_core::incarnation::Incarnation;
use shallothill_directory::{EndpointStatus, NodeReport};
use shallothill_runtime::timer::Timer;
use shallothill_wire::report::{ReportReply, ReportRequest};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tracing::{debug, warn};

use crate::config::ConfigStore;
use crate::control::Keepers;
use crate::crashes::CrashTracker;
use crate::gate::Gate;
use crate::view::DirectoryView;

/// `REPORT_PERIOD` is the time between reports while nothing changes.
const REPORT_PERIOD: Duration = Duration::from_secs(2);

/// `REPORT_TIMEOUT` is the wait for one keeper before the next one is tried. Together with the time
/// between reports it stays below the 6 s after which a node counts as not reporting.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// `CHANGE_DELAY` is the delay of a report after a change, so that a burst of changes causes few
/// reports.
const CHANGE_DELAY: Duration = Duration::from_millis(50);

/// `Reporter` sends reports to the nearest keeper that answers.
#[derive(Debug)]
pub struct Reporter {
    /// The name of the node.
    pub node: NodeName,
    /// The region and data centre of the node.
    pub zone: Zone,
    /// The address of the node for other nodes.
    pub peer_address: std::net::SocketAddr,
    /// The incarnation of the process, which orders the reports of a restarted node.
    pub incarnation: Incarnation,
    /// The gate, whose endpoints are reported.
    pub gate: Arc<Gate>,
    /// The directory, which takes the own report without a keeper.
    pub view: Arc<DirectoryView>,
    /// The keepers that reports are sent to, the nearest first.
    pub keepers: Arc<Keepers>,
    /// The store, whose version is reported.
    pub store: Arc<ConfigStore>,
    /// The crashes whose notices are reported.
    pub crashes: Arc<CrashTracker>,
    /// Notified when a change is to be reported before the next regular report.
    pub changed: Arc<Notify>,
    /// The timer for the reports.
    pub timer: Timer,
}

#[derive(Debug, Default)]
struct LastReport {
    sequence: u64,
    endpoints: Option<Vec<EndpointStatus>>,
}

impl Reporter {
    /// `run` reports until `stop` is cancelled; its last report says that the node is leaving.
    pub async fn run(self, stop: CancellationToken) {
        let mut every = self.timer.every(REPORT_PERIOD);
        let mut last = LastReport::default();
        loop {
            self.report(&mut last, false).await;
            tokio::select! {
                () = stop.cancelled() => break,
                _ = every.recv() => {}
                () = self.changed.notified() => {
                    // The timer fails only when the process ends.
                    let _ = self.timer.after(CHANGE_DELAY).await;
                }
            }
        }
        self.report(&mut last, true).await;
    }

    async fn report(&self, last: &mut LastReport, leaving: bool) {
        let endpoints = self.gate.endpoint_statuses();
        if leaving || last.endpoints.as_ref() != Some(&endpoints) {
            last.sequence += 1;
        }
        last.endpoints = Some(endpoints.clone());
        let report = NodeReport {
            node: self.node.clone(),
            zone: self.zone.clone(),
            peer_address: self.peer_address,
            incarnation: self.incarnation,
            sequence: last.sequence,
            endpoints,
        };
        self.view.set_own_report(report.clone());
        let crashes = self.crashes.unreported_notices(self.timer.now());
        let notices = crashes.len();
        let req = ReportRequest {
            report,
            loads: self.gate.take_loads(),
            crashes,
            config_version: self.store.version(),
            leaving,
        };
        if let Some(reply) = self.send_to_nearest(&req).await {
            self.crashes.drop_reported(notices);
            self.store.record_version(reply.config_version);
            self.gate.apply_summaries(&reply.summaries);
        }
    }

    async fn send_to_nearest(&self, req: &ReportRequest) -> Option<ReportReply> {
        for keeper in self.keepers.all().iter() {
            let req = req.clone();
            let call =
                keeper.channel().call(
                    REPORT_TIMEOUT,
                    |c, cx| async move { c.report(cx, req).await },
                );
            match call.await {
                Ok(reply) => {
                    keeper.set_reachable(true);
                    return Some(reply);
                }
                Err(e) => {
                    if keeper.is_reachable() {
                        warn!("report: {e}");
                    } else {
                        debug!("report: {e}");
                    }
                    keeper.set_reachable(false);
                }
            }
        }
        None
    }
}
