//! Notifies the nodes of the region of backend servers that they should avoid or try.
//!
//! A node sends few requests to each backend server, so the load that their replies report is often
//! outdated. A gate therefore sends a datagram to its neighbours when one of its backend servers
//! becomes suspected, full or normal again, and repeats it while the state is not normal. A lost
//! datagram costs at most a refused attempt.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallothill_core::health::ServingState;
use shallothill_core::ids::{EndpointId, ServiceName};
use shallothill_core::time::Millis;
use shallothill_policy::pick::{EndpointKey, ReportedLoad};
use shallothill_runtime::timer::Timer;
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;
use tracing::{debug, info};

use crate::gate::Gate;
use crate::view::DirectoryView;

/// `POLL_INTERVAL` is the time between two checks of the gate's loads.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// `REPEAT_INTERVAL` is the time after which a notice of an unusual state is repeated; it is
/// shorter than the time for which a reported load is valid.
const REPEAT_INTERVAL: Duration = Duration::from_millis(800);

/// `MAX_NEIGHBOURS` bounds the nodes that get notices, so that the cost does not grow with the
/// region.
const MAX_NEIGHBOURS: usize = 32;

/// `MAX_DATAGRAM_BYTES` bounds the size of a received datagram.
const MAX_DATAGRAM_BYTES: usize = 1200;

/// `Notice` is the content of a datagram: the load and the state of a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Notice {
    service: ServiceName,
    /// The hash of the backend server's id.
    endpoint: u64,
    in_flight: u16,
    slots: u16,
    queued: u16,
    state: ServingState,
}

/// `SentNotice` is the last notice that the neighbours were sent about a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct SentNotice {
    condition: LoadCondition,
    at: Millis,
}

/// `LoadCondition` summarises whether neighbours should pick a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LoadCondition {
    /// The backend server accepts requests.
    Usual,
    /// All slots are in use.
    Full,
    /// The backend server is suspected, needs a trial or is draining.
    Unusual(ServingState),
}

impl LoadCondition {
    fn of(load: &ReportedLoad) -> Self {
        match load.state {
            ServingState::Ready | ServingState::Cold if load.in_flight < load.slots => Self::Usual,
            ServingState::Ready | ServingState::Cold => Self::Full,
            state => Self::Unusual(state),
        }
    }
}

/// `NeighbourExchange` exchanges notices with the nodes of the region.
#[derive(Debug)]
pub struct NeighbourExchange {
    socket: UdpSocket,
    gate: Arc<Gate>,
    view: Arc<DirectoryView>,
    timer: Timer,
}

impl NeighbourExchange {
    /// `bind` opens the UDP socket at `address`, the peer address of the node.
    ///
    /// Fails when the address is in use.
    pub async fn bind(
        address: SocketAddr,
        gate: Arc<Gate>,
        view: Arc<DirectoryView>,
        timer: Timer,
    ) -> io::Result<Self> {
        Ok(Self {
            socket: UdpSocket::bind(address).await?,
            gate,
            view,
            timer,
        })
    }

    /// `run` sends and receives notices until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let mut polls = self.timer.every(POLL_INTERVAL);
        let mut sent: HashMap<EndpointId, SentNotice> = HashMap::new();
        let mut buf = [0; MAX_DATAGRAM_BYTES];
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buf) => {
                    let len = received.map_or(0, |(len, _)| len);
                    if let Some(datagram) = buf.get(..len) {
                        self.apply_datagram(datagram);
                    }
                }
                _ = polls.recv() => self.send_changes(&mut sent).await,
                () = stop.cancelled() => return,
            }
        }
    }

    fn apply_datagram(&self, datagram: &[u8]) {
        let Ok(notice) = rmp_serde::from_slice::<Notice>(datagram) else {
            debug!("neighbours: a malformed datagram is ignored");
            return;
        };
        let tables = self.view.tables();
        let table = tables.service(&notice.service);
        let Some(endpoint) = table.and_then(|t| t.find(EndpointKey(notice.endpoint))) else {
            return;
        };
        let load = ReportedLoad {
            in_flight: notice.in_flight,
            slots: notice.slots,
            queued: notice.queued,
            state: notice.state,
        };
        endpoint.stats.record_load(self.timer.now(), load);
    }

    async fn send_changes(&self, sent: &mut HashMap<EndpointId, SentNotice>) {
        let now = self.timer.now();
        let loads = self.gate.reported_loads();
        sent.retain(|id, _| loads.iter().any(|(current, _)| current == id));
        for (id, load) in loads {
            let condition = LoadCondition::of(&load);
            let last = sent.get(&id);
            let changed = last.map_or(condition != LoadCondition::Usual, |t| {
                t.condition != condition
            });
            let is_due = |t: &SentNotice| now.saturating_since(t.at) >= REPEAT_INTERVAL;
            let repeat = condition != LoadCondition::Usual && last.is_none_or(is_due);
            if changed || repeat {
                if changed {
                    info!(
                        "gate: {id} is reported as {condition:?}, {} in flight, {} queued",
                        load.in_flight, load.queued
                    );
                }
                self.send_notice(&id, load).await;
                sent.insert(id, SentNotice { condition, at: now });
            }
        }
    }

    async fn send_notice(&self, id: &EndpointId, load: ReportedLoad) {
        let notice = Notice {
            service: id.service.clone(),
            endpoint: EndpointKey::of(id).0,
            in_flight: load.in_flight,
            slots: load.slots,
            queued: load.queued,
            state: load.state,
        };
        let Ok(datagram) = rmp_serde::to_vec(&notice) else {
            return;
        };
        for address in self.view.neighbours(MAX_NEIGHBOURS) {
            if let Err(e) = self.socket.send_to(&datagram, address).await {
                debug!("neighbours: sending a notice to {address} failed: {e}");
            }
        }
    }
}
