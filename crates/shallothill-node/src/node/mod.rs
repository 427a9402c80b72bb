//! Starts the components of a node and stops them gracefully.

mod access;
mod build;
mod earlier_departures;
mod lease;
mod sockets;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cadence::StatsdClient;
use shallothill_core::incarnation::Incarnation;
use shallothill_runtime::admin::AdminLimits;
use shallothill_runtime::timer::Timer;
use shallothill_runtime::{admin, logs, metrics};
use tokio::sync::Notify;
use tokio::time;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::{info, warn};

use crate::announce::AnnounceServer;
use crate::config::ConfigStore;
use crate::control::{
    ConfigFetcher, Discovery, KeeperFailover, KeeperSwitch, Keepers, Reporter, VersionProbe,
    Watcher, confirmed_version, highest_reported_version,
};
use crate::counters::{Counters, TOTALS};
use crate::crashes::CrashTracker;
use crate::entry::Entry;
use crate::errors;
use crate::gate::Gate;
use crate::interface::HttpInterface;
use crate::listener::Listener;
use crate::neighbours::NeighbourExchange;
use crate::node::sockets::Sockets;
use crate::peer::{PeerLinks, PeerServer, RunningAttempts};
use crate::settings::Settings;
use crate::view::DirectoryView;

/// `CHECK_PERIOD` is the time between evaluations of the evidence on the health of backend servers.
const CHECK_PERIOD: Duration = Duration::from_millis(50);

/// `REFRESH_PERIOD` is the time between updates of the pick tables, announcements and retry
/// allowances.
const REFRESH_PERIOD: Duration = Duration::from_millis(250);

/// `IDLE_LINK_PERIOD` is the time between closings of idle links.
const IDLE_LINK_PERIOD: Duration = Duration::from_secs(30);

/// `MAX_QUORUM_WAIT` is the time without a quorum after which a starting node accepts the highest
/// version of the keepers that answer, because a site that is cut off must work on its own.
const MAX_QUORUM_WAIT: Duration = Duration::from_secs(4);

/// `VERSION_RETRY_PAUSE` is the pause before the keepers are asked for the version again.
const VERSION_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// `GATE_TIME_DIVISOR` gives the part of the stop timeout for which the gate still takes attempts; in
/// the rest those that run can end.
const GATE_TIME_DIVISOR: u32 = 2;

/// `GATE_REPLY_MARGIN` is the time before the end of the node by which the gate's attempts must be
/// answered, so that the replies reach the other nodes.
const GATE_REPLY_MARGIN: Duration = Duration::from_millis(250);

/// `ListenAddresses` contains the addresses that a started node listens on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenAddresses {
    /// The address for requests of callers.
    pub caller: SocketAddr,
    /// The address for attempts of other nodes.
    pub peer: SocketAddr,
    /// The address for announcements of backend servers.
    pub announce: SocketAddr,
    /// The address for operators' requests.
    pub admin: SocketAddr,
}

/// `Node` holds the components of a running node and the tokens that stop them.
#[derive(Debug)]
pub struct Node {
    settings: Settings,
    incarnation: Incarnation,
    addresses: ListenAddresses,
    timer: Timer,
    store: Arc<ConfigStore>,
    view: Arc<DirectoryView>,
    keepers: Arc<Keepers>,
    links: Arc<PeerLinks>,
    attempts: Arc<RunningAttempts>,
    crashes: Arc<CrashTracker>,
    gate: Arc<Gate>,
    entry: Arc<Entry>,
    counters: Arc<Counters>,
    changed: Arc<Notify>,
    metrics: StatsdClient,
    stop: CancellationToken,
    /// Closes the listener for callers, the lame-duck time after `stop`.
    close_callers: CancellationToken,
    /// Closes the listener for other nodes and reports that this one leaves; cancelled with the gate.
    leave: CancellationToken,
    /// Ends the tasks that run until all requests are answered.
    end_tasks: CancellationToken,
    connections: TaskTracker,
    background: TaskTracker,
}

impl Node {
    /// `start` opens the listeners and starts all components; the node runs until `stop` is
    /// cancelled.
    ///
    /// Fails with `Runtime` if an address is in use.
    pub async fn start(settings: Settings, stop: CancellationToken) -> errors::Result<Arc<Self>> {
        Self::start_with_interface(settings, HttpInterface::default(), stop).await
    }

    /// `start_with_interface` is [`Self::start`] for callers and backend servers that speak
    /// `interface`.
    pub async fn start_with_interface(
        settings: Settings,
        interface: HttpInterface,
        stop: CancellationToken,
    ) -> errors::Result<Arc<Self>> {
        let sockets = Sockets::bind(&settings).await?;
        let addresses = sockets.addresses(&settings);
        let metrics = metrics::statsd_client("shallothill.node", settings.process.metrics_address)?;
        let node = Arc::new(Self::build(settings, interface, addresses, metrics, stop));
        node.start_listeners(sockets);
        node.start_neighbour_exchange().await;
        node.start_keeper_tasks();
        tokio::spawn(Arc::clone(&node).run_periodic_tasks());
        tokio::spawn(Arc::clone(&node).serve_when_current());
        Ok(node)
    }

    fn start_listeners(self: &Arc<Self>, sockets: Sockets) {
        let b = &self.settings.bounds;
        let peers = PeerServer {
            node: self.settings.node.clone(),
            gate: Arc::clone(&self.gate),
            attempts: Arc::clone(&self.attempts),
            entry: Arc::clone(&self.entry),
            store: Arc::clone(&self.store),
            counters: Arc::clone(&self.counters),
        };
        let announcements = AnnounceServer {
            gate: Arc::clone(&self.gate),
        };
        let callers = self.listener(b.caller_connections, &self.close_callers);
        let entry = Arc::clone(&self.entry);
        self.connections.spawn(callers.run(sockets.caller, entry));
        let nodes = self.listener(b.peer_connections, &self.leave);
        self.connections
            .spawn(nodes.run(sockets.peer, Arc::new(peers)));
        // Backend servers keep these connections open, so the stop does not wait for them.
        let announce = Listener {
            tasks: TaskTracker::new(),
            ..self.listener(b.announce_connections, &self.end_tasks)
        };
        tokio::spawn(announce.run(sockets.announce, Arc::new(announcements)));
        tokio::spawn(admin::serve_within(
            sockets.admin,
            Arc::clone(self),
            AdminLimits::SMALL,
            self.end_tasks.clone(),
        ));
        tokio::spawn(self.entry.memory().clone().run(self.end_tasks.clone()));
    }

    fn listener(&self, connections: usize, stop: &CancellationToken) -> Listener {
        Listener {
            connections,
            bounds: self.settings.bounds.clone(),
            timer: self.timer.clone(),
            memory: self.entry.memory().clone(),
            counters: Arc::clone(&self.counters),
            stop: stop.clone(),
            tasks: self.connections.clone(),
        }
    }

    fn start_keeper_tasks(&self) {
        let fetch = Arc::new(ConfigFetcher {
            store: Arc::clone(&self.store),
            links: Arc::clone(&self.links),
            view: Arc::clone(&self.view),
            timer: self.timer.clone(),
        });
        let switch = Arc::new(KeeperSwitch::default());
        let probe = VersionProbe {
            keepers: Arc::clone(&self.keepers),
            store: Arc::clone(&self.store),
            switch: Arc::clone(&switch),
            timer: self.timer.clone(),
        };
        tokio::spawn(self.credit_client().run(self.end_tasks.clone()));
        let watcher = Watcher {
            node: self.settings.node.clone(),
            keepers: Arc::clone(&self.keepers),
            store: Arc::clone(&self.store),
            view: Arc::clone(&self.view),
            crashes: Arc::clone(&self.crashes),
            gate: Arc::clone(&self.gate),
            fetch: Arc::clone(&fetch),
            switch: Arc::clone(&switch),
            currency: self.currency().cloned(),
            timer: self.timer.clone(),
        };
        let reporter = Reporter {
            node: self.settings.node.clone(),
            zone: self.settings.zone(),
            peer_address: self.addresses.peer,
            incarnation: self.incarnation,
            gate: Arc::clone(&self.gate),
            view: Arc::clone(&self.view),
            keepers: Arc::clone(&self.keepers),
            store: Arc::clone(&self.store),
            crashes: Arc::clone(&self.crashes),
            changed: Arc::clone(&self.changed),
            timer: self.timer.clone(),
        };
        tokio::spawn(watcher.run(self.end_tasks.clone()));
        self.start_lease_renewal();
        if self.keepers.uses_discovery() {
            // Discovered keepers report that they are isolated, so no probe is needed.
            let discovery = Discovery {
                keepers: Arc::clone(&self.keepers),
                timer: self.timer.clone(),
            };
            tokio::spawn(discovery.run(self.end_tasks.clone()));
            let failover = KeeperFailover {
                keepers: Arc::clone(&self.keepers),
                switch,
                timer: self.timer.clone(),
            };
            tokio::spawn(failover.run(self.end_tasks.clone()));
        } else {
            tokio::spawn(probe.run(self.end_tasks.clone()));
        }
        tokio::spawn(fetch.run(Arc::clone(&self.gate), self.end_tasks.clone()));
        self.connections.spawn(reporter.run(self.leave.clone()));
    }

    // Without the exchange the node learns the load of backend servers only from their responses.
    async fn start_neighbour_exchange(&self) {
        let exchange = NeighbourExchange::bind(
            self.addresses.peer,
            Arc::clone(&self.gate),
            Arc::clone(&self.view),
            self.timer.clone(),
        );
        match exchange.await {
            Ok(neighbours) => drop(tokio::spawn(neighbours.run(self.end_tasks.clone()))),
            Err(e) => warn!(
                "neighbours: cannot open the socket: {e}; neighbours receive no state changes"
            ),
        }
    }

    async fn run_periodic_tasks(self: Arc<Self>) {
        let mut check = self.timer.every(CHECK_PERIOD);
        let mut refresh = self.timer.every(REFRESH_PERIOD);
        let mut close_idle = self.timer.every(IDLE_LINK_PERIOD);
        let mut metrics_due = self.timer.every(self.settings.process.metrics_period());
        let mut totals_sent = [0; TOTALS];
        loop {
            tokio::select! {
                () = self.end_tasks.cancelled() => return,
                _ = check.recv() => self.gate.check_endpoints(),
                _ = refresh.recv() => {
                    self.view.refresh(self.timer.now());
                    self.gate.expire_announcements();
                    self.gate.update_retry_allowances(&self.view.tables());
                }
                _ = close_idle.recv() => self.links.drop_idle(),
                _ = metrics_due.recv() => {
                    self.counters.send(&self.metrics, &mut totals_sent, self.gauges());
                    logs::report_dropped_lines();
                }
            }
        }
    }

    // A node serves only at or above the highest version that the keepers have, so that a restart
    // never puts an old configuration back in force.
    async fn serve_when_current(self: Arc<Self>) {
        let mut warned = false;
        let quorum_deadline = self.timer.now() + MAX_QUORUM_WAIT;
        loop {
            let version = match confirmed_version(&self.keepers).await {
                None if self.timer.now() >= quorum_deadline => {
                    highest_reported_version(&self.keepers).await
                }
                confirmed => confirmed,
            };
            if let Some(version) = version {
                self.store.record_version(version);
                break;
            }
            if !warned {
                warn!("node: no keeper answers; requests are refused as not run until one does");
                warned = true;
            }
            tokio::select! {
                _ = self.timer.after(VERSION_RETRY_PAUSE) => {}
                () = self.end_tasks.cancelled() => return,
            }
        }
        Arc::clone(&self).restore_departures(quorum_deadline).await;
        while self.store.version() < self.store.highest_known_version() {
            tokio::select! {
                _ = self.timer.after(VERSION_RETRY_PAUSE / 10) => {}
                () = self.end_tasks.cancelled() => return,
            }
        }
        self.entry.start_serving();
        info!("node: serving with configuration {}", self.store.version());
    }

    /// `run_until_stopped` waits for the stop, then accepts callers for the lame-duck time and
    /// waits for requests in flight, up to the stop timeout.
    ///
    /// The backend servers of the host go on, so the gate takes attempts of other nodes as long as
    /// this node still waits for the answers of its own callers' requests.
    pub async fn run_until_stopped(&self) {
        self.stop.cancelled().await;
        let bounds = &self.settings.bounds;
        let stop_time = bounds.lame_duck() + bounds.stop_timeout();
        let ends_at = Instant::now() + stop_time;
        self.entry.start_draining(ends_at);
        self.gate
            .stop_at(self.timer.now() + stop_time.saturating_sub(GATE_REPLY_MARGIN));
        self.log_stop("node: draining");
        // The timer fails only when the process ends.
        let _ = self.timer.after(bounds.lame_duck()).await;
        self.close_callers.cancel();
        self.log_stop("node: callers are no longer accepted");
        let answered = self.entry.open_requests().none_left();
        let gate_time = bounds.stop_timeout() / GATE_TIME_DIVISOR;
        let _ = time::timeout(gate_time, answered).await;
        self.gate.close();
        self.leave.cancel();
        self.log_stop("node: the gate takes no more attempts");
        self.connections.close();
        self.background.close();
        let finished = async {
            self.connections.wait().await;
            self.background.wait().await;
        };
        if time::timeout_at(ends_at, finished).await.is_err() {
            warn!("node: connections are still open at the end of the stop timeout; ending them");
        }
        self.end_tasks.cancel();
        self.log_stop("node: stopped");
    }

    // Shows what a stop still waits for: callers' requests, or attempts at the own backend servers.
    fn log_stop(&self, step: &str) {
        let endpoints = self.gate.endpoints();
        let loads = endpoints.values().map(|e| e.reported_load());
        let (running, queued) = loads.fold((0, 0), |(running, queued), l| {
            (
                running + u32::from(l.in_flight),
                queued + u32::from(l.queued),
            )
        });
        let open = self.entry.open_requests().count();
        info!(open, running, queued, "{step}");
    }
}
