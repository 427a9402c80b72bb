//! Reports the node's backend servers to a keeper.

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

/// `REPORT_EVERY` is the time between two reports without changes.
const REPORT_EVERY: Duration = Duration::from_secs(2);

/// `REPORT_TIMEOUT` bounds the wait for one keeper before the next one is tried; together with
/// the time between reports it stays under the 6 s after which a node counts as unheard.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// `SPREAD` is the least time between two reports, so that a burst of changes sends few.
const SPREAD: Duration = Duration::from_millis(50);

/// `Reporter` sends the state of the node to the nearest keeper that answers.
#[derive(Debug)]
pub struct Reporter {
    /// The node.
    pub node: NodeName,
    /// Its place.
    pub zone: Zone,
    /// Its address for other nodes.
    pub peer_address: std::net::SocketAddr,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// The gate.
    pub gate: Arc<Gate>,
    /// The directory, which learns of the own backend servers at once.
    pub view: Arc<DirectoryView>,
    /// The keepers.
    pub keepers: Arc<Keepers>,
    /// The configuration.
    pub store: Arc<ConfigStore>,
    /// The crash notices.
    pub crashes: Arc<CrashTracker>,
    /// Woken when there is something to report at once.
    pub changed: Arc<Notify>,
    /// The timer service.
    pub timer: Timer,
}

#[derive(Debug, Default)]
struct Sent {
    sequence: u64,
    endpoints: Option<Vec<EndpointStatus>>,
}

impl Reporter {
    /// `run` reports until `stop` is cancelled, and says then that the node leaves.
    pub async fn run(self, stop: CancellationToken) {
        let mut every = self.timer.every(REPORT_EVERY);
        let mut sent = Sent::default();
        loop {
            self.report(&mut sent, false).await;
            tokio::select! {
                () = stop.cancelled() => break,
                _ = every.recv() => {}
                () = self.changed.notified() => {
                    // The service ends only with the process.
                    let _ = self.timer.after(SPREAD).await;
                }
            }
        }
        self.report(&mut sent, true).await;
    }

    async fn report(&self, sent: &mut Sent, leaving: bool) {
        let endpoints = self.gate.endpoint_statuses();
        if leaving || sent.endpoints.as_ref() != Some(&endpoints) {
            sent.sequence += 1;
        }
        sent.endpoints = Some(endpoints.clone());
        let report = NodeReport {
            node: self.node.clone(),
            zone: self.zone.clone(),
            peer_address: self.peer_address,
            incarnation: self.incarnation,
            sequence: sent.sequence,
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
        if let Some(reply) = self.send(&req).await {
            self.crashes.drop_reported(notices);
            self.store.record_version(reply.config_version);
            self.gate.apply_summaries(&reply.summaries);
        }
    }

    async fn send(&self, req: &ReportRequest) -> Option<ReportReply> {
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
