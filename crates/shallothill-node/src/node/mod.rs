//! Starts the parts of a node and stops them gracefully.

mod access;
mod build;
mod sockets;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cadence::StatsdClient;
use shallothill_core::incarnation::Incarnation;
use shallothill_runtime::timer::Timer;
use shallothill_runtime::{admin, logs, metrics};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::{info, warn};

use crate::announce::AnnounceServer;
use crate::config::ConfigStore;
use crate::control::{
    ConfigFetcher, Discovery, KeeperFailover, KeeperSwitch, Keepers, Reporter, VersionProbe,
    Watcher, confirmed_version, highest_reported_version,
};
use crate::counters::{Counters, Gauges};
use crate::crashes::CrashTracker;
use crate::entry::Entry;
use crate::errors;
use crate::gate::Gate;
use crate::interface::HttpInterface;
use crate::listener::{Listener, RequestHandler};
use crate::neighbours::NeighbourExchange;
use crate::node::sockets::Sockets;
use crate::peer::{PeerLinks, PeerServer};
use crate::settings::Settings;
use crate::view::DirectoryView;

/// `JUDGE_EVERY` is the time between two looks at the evidence on backend servers.
const JUDGE_EVERY: Duration = Duration::from_millis(50);

/// `REFRESH_EVERY` is the time between two adjustments of the picks.
const REFRESH_EVERY: Duration = Duration::from_millis(250);

/// `TIDY_EVERY` is the time between two searches for idle peers.
const TIDY_EVERY: Duration = Duration::from_secs(30);

/// `UNCONFIRMED_AFTER` is the time without a quorum after which a starting node takes the version
/// of the keepers that answer, because a site that is cut off has to carry on alone.
const UNCONFIRMED_AFTER: Duration = Duration::from_secs(4);

/// `LEARN_AGAIN` is the pause before sources are asked for the version again.
const LEARN_AGAIN: Duration = Duration::from_millis(200);

/// `ListenAddresses` are the addresses that a started node listens on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenAddresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For other nodes.
    pub peer: SocketAddr,
    /// For backend servers.
    pub announce: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
}

/// `Node` is a running node.
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
    crashes: Arc<CrashTracker>,
    gate: Arc<Gate>,
    entry: Arc<Entry>,
    counters: Arc<Counters>,
    changed: Arc<Notify>,
    metrics: StatsdClient,
    stop: CancellationToken,
    /// Closes the listeners, some time after `stop`.
    close: CancellationToken,
    /// Ends what goes on until all requests are answered.
    end: CancellationToken,
    connections: TaskTracker,
    background: TaskTracker,
}

impl Node {
    /// `start` listens and starts all parts; the node runs until `stop` is cancelled.
    ///
    /// Fails with `Runtime` when an address is taken.
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
        let metrics = metrics::client("shallothill.node", settings.process.metrics_address)?;
        let node = Arc::new(Self::build(settings, interface, addresses, metrics, stop));
        node.listen(sockets);
        node.start_neighbour_exchange().await;
        node.follow_keepers();
        tokio::spawn(Arc::clone(&node).tick());
        tokio::spawn(Arc::clone(&node).become_ready());
        Ok(node)
    }

    fn listen(self: &Arc<Self>, sockets: Sockets) {
        let b = &self.settings.bounds;
        let peers = PeerServer {
            node: self.settings.node.clone(),
            gate: Arc::clone(&self.gate),
            entry: Arc::clone(&self.entry),
            store: Arc::clone(&self.store),
            counters: Arc::clone(&self.counters),
        };
        let announcements = AnnounceServer {
            gate: Arc::clone(&self.gate),
        };
        self.accept(
            sockets.caller,
            b.caller_connections,
            Arc::clone(&self.entry),
        );
        self.accept(sockets.peer, b.peer_connections, Arc::new(peers));
        // Backend servers keep these connections open; the stop does not wait for them.
        let announce = Listener {
            stop: self.end.clone(),
            tasks: TaskTracker::new(),
            ..self.listener(sockets.announce, b.announce_connections)
        };
        tokio::spawn(announce.run(Arc::new(announcements)));
        tokio::spawn(admin::serve(
            sockets.admin,
            Arc::clone(self),
            self.end.clone(),
        ));
    }

    fn accept<A: RequestHandler>(&self, socket: TcpListener, connections: usize, answer: Arc<A>) {
        let listener = self.listener(socket, connections);
        self.connections.spawn(listener.run(answer));
    }

    fn listener(&self, socket: TcpListener, connections: usize) -> Listener {
        Listener {
            socket,
            connections,
            bounds: self.settings.bounds.clone(),
            timer: self.timer.clone(),
            counters: Arc::clone(&self.counters),
            stop: self.close.clone(),
            tasks: self.connections.clone(),
        }
    }

    fn follow_keepers(&self) {
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
        let watcher = Watcher {
            node: self.settings.node.clone(),
            keepers: Arc::clone(&self.keepers),
            store: Arc::clone(&self.store),
            view: Arc::clone(&self.view),
            crashes: Arc::clone(&self.crashes),
            gate: Arc::clone(&self.gate),
            fetch: Arc::clone(&fetch),
            switch: Arc::clone(&switch),
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
        tokio::spawn(watcher.run(self.end.clone()));
        if self.keepers.uses_discovery() {
            // Discovered keepers tell themselves when they are isolated.
            let discovery = Discovery {
                keepers: Arc::clone(&self.keepers),
                timer: self.timer.clone(),
            };
            tokio::spawn(discovery.run(self.end.clone()));
            let failover = KeeperFailover {
                keepers: Arc::clone(&self.keepers),
                switch,
                timer: self.timer.clone(),
            };
            tokio::spawn(failover.run(self.end.clone()));
        } else {
            tokio::spawn(probe.run(self.end.clone()));
        }
        tokio::spawn(fetch.run(Arc::clone(&self.gate), self.end.clone()));
        self.connections.spawn(reporter.run(self.stop.clone()));
    }

    // Without the exchange the node works on what answers tell it.
    async fn start_neighbour_exchange(&self) {
        let bound = NeighbourExchange::bind(
            self.addresses.peer,
            Arc::clone(&self.gate),
            Arc::clone(&self.view),
            self.timer.clone(),
        );
        match bound.await {
            Ok(neighbours) => drop(tokio::spawn(neighbours.run(self.end.clone()))),
            Err(e) => warn!("neighbours: no socket: {e}; neighbours are not told of states"),
        }
    }

    async fn tick(self: Arc<Self>) {
        let mut judge = self.timer.every(JUDGE_EVERY);
        let mut refresh = self.timer.every(REFRESH_EVERY);
        let mut tidy = self.timer.every(TIDY_EVERY);
        let mut send = self.timer.every(self.settings.process.metrics_period());
        let mut sent = [0; 8];
        loop {
            tokio::select! {
                () = self.end.cancelled() => return,
                _ = judge.recv() => self.gate.check_endpoints(),
                _ = refresh.recv() => {
                    self.view.refresh(self.timer.now());
                    self.gate.expire_announcements();
                    self.gate.update_retry_allowances(&self.view.tables());
                }
                _ = tidy.recv() => self.links.drop_idle(),
                _ = send.recv() => {
                    self.counters.send(&self.metrics, &mut sent, self.gauges());
                    logs::report_drops();
                }
            }
        }
    }

    fn gauges(&self) -> Gauges {
        Gauges {
            config_version: self.store.version().0,
            endpoints: self.gate.endpoints().len() as u64,
            buffered_bytes: self.entry.buffered_bytes() as u64,
            claims: self.gate.ledger().in_flight_counts().0 as u64,
        }
    }

    // A node serves only at or above the highest version that its sources have, so that a restart
    // never brings an old configuration back into force.
    async fn become_ready(self: Arc<Self>) {
        let mut reported = false;
        let alone = self.timer.now() + UNCONFIRMED_AFTER;
        loop {
            let version = match confirmed_version(&self.keepers).await {
                None if self.timer.now() >= alone => highest_reported_version(&self.keepers).await,
                confirmed => confirmed,
            };
            if let Some(version) = version {
                self.store.record_version(version);
                break;
            }
            if !reported {
                warn!("node: no keeper answers; requests are refused as not run until one does");
                reported = true;
            }
            tokio::select! {
                _ = self.timer.after(LEARN_AGAIN) => {}
                () = self.end.cancelled() => return,
            }
        }
        while self.store.version() < self.store.highest_known_version() {
            tokio::select! {
                _ = self.timer.after(LEARN_AGAIN / 10) => {}
                () = self.end.cancelled() => return,
            }
        }
        self.entry.start_serving();
        info!("node: serving with configuration {}", self.store.version());
    }

    /// `run_until_stopped` waits for the stop and finishes what is in flight.
    pub async fn run_until_stopped(&self) {
        self.stop.cancelled().await;
        self.entry.start_draining();
        self.gate.drain_all();
        // The service ends only with the process.
        let _ = self.timer.after(self.settings.bounds.lame_duck()).await;
        self.close.cancel();
        self.connections.close();
        self.background.close();
        let finished = async {
            self.connections.wait().await;
            self.background.wait().await;
        };
        let timeout = self.settings.bounds.stop_timeout();
        if time::timeout(timeout, finished).await.is_err() {
            warn!("node: requests are still in flight after {timeout:?}; ending them");
        }
        self.end.cancel();
        info!("node: stopped");
    }
}
