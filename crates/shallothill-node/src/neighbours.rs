//! Tells nodes of the region about backend servers that others should avoid or try.
//!
//! A node sends few requests to each backend server, so what their answers tell it is old. A gate
//! therefore sends a datagram to its neighbours when its backend server becomes suspected, full or
//! usual again, and repeats it while the state lasts. A lost datagram costs a refused attempt.

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
use crate::view::View;

/// `LOOK_EVERY` is the time between two looks at the gate.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// `REPEAT_EVERY` is the time after which an unusual state is told again; it is shorter than the time
/// for which a reported load holds.
const REPEAT_EVERY: Duration = Duration::from_millis(800);

/// `NEIGHBOURS_MAX` bounds the nodes that are told, so that the cost does not grow with the region.
const NEIGHBOURS_MAX: usize = 32;

/// `DATAGRAM_MAX_BYTES` bounds a datagram.
const DATAGRAM_MAX_BYTES: usize = 1200;

/// `Notice` tells the load and the state of one backend server.
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

/// `Told` is what the neighbours were last told about a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Told {
    kind: Kind,
    at: Millis,
}

/// `Kind` is what makes neighbours pick a backend server or not.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    /// It takes requests.
    Usual,
    /// All slots are taken.
    Full,
    /// It is suspected, or wants a trial.
    Unusual(ServingState),
}

impl Kind {
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
    view: Arc<View>,
    timer: Timer,
}

impl NeighbourExchange {
    /// `bind` opens the socket at the address for other nodes.
    ///
    /// Fails when the address is taken.
    pub async fn bind(
        address: SocketAddr,
        gate: Arc<Gate>,
        view: Arc<View>,
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
        let mut looks = self.timer.every(LOOK_EVERY);
        let mut told: HashMap<EndpointId, Told> = HashMap::new();
        let mut buf = [0; DATAGRAM_MAX_BYTES];
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buf) => {
                    let len = received.map_or(0, |(len, _)| len);
                    if let Some(datagram) = buf.get(..len) {
                        self.take(datagram);
                    }
                }
                _ = looks.recv() => self.tell(&mut told).await,
                () = stop.cancelled() => return,
            }
        }
    }

    fn take(&self, datagram: &[u8]) {
        let Ok(notice) = rmp_serde::from_slice::<Notice>(datagram) else {
            debug!("neighbours: a datagram is malformed");
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

    async fn tell(&self, told: &mut HashMap<EndpointId, Told>) {
        let now = self.timer.now();
        let loads = self.gate.reported_loads();
        told.retain(|id, _| loads.iter().any(|(known, _)| known == id));
        for (id, load) in loads {
            let kind = Kind::of(&load);
            let last = told.get(&id);
            let news = last.map_or(kind != Kind::Usual, |t| t.kind != kind);
            let due = |t: &Told| now.saturating_since(t.at) >= REPEAT_EVERY;
            let repeat = kind != Kind::Usual && last.is_none_or(due);
            if news || repeat {
                if news {
                    info!(
                        "gate: {id} is {kind:?} to others, {} run, {} wait",
                        load.in_flight, load.queued
                    );
                }
                self.send(&id, load).await;
                told.insert(id, Told { kind, at: now });
            }
        }
    }

    async fn send(&self, id: &EndpointId, load: ReportedLoad) {
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
        for address in self.view.neighbours(NEIGHBOURS_MAX) {
            if let Err(e) = self.socket.send_to(&datagram, address).await {
                debug!("neighbours: {address} cannot be told: {e}");
            }
        }
    }
}
