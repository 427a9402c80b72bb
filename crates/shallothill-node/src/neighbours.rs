//! Notifies the nodes that send attempts of backend servers that they should avoid or try.
//!
//! A node sends few requests to each backend server, so the load that their replies report is often
//! outdated. A gate therefore sends a datagram to the nodes that have sent it attempts lately, and to
//! its neighbours in the region, when the condition of one of its backend servers changes;
//! [`shallothill_policy::notices`] decides when and to whom. A lost datagram costs at most a refused
//! attempt.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use shallothill_core::health::ServingState;
use shallothill_core::ids::{EndpointId, ServiceName};
use shallothill_policy::notices::{NoticeOptions, NoticeSchedule, Receivers};
use shallothill_policy::pick::{EndpointKey, ReportedLoad};
use shallothill_runtime::timer::Timer;
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;
use tracing::{debug, info};

use crate::gate::Gate;
use crate::view::DirectoryView;

/// `POLL_INTERVAL` is the time between two checks of the gate's loads.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// `MAX_DATAGRAM_BYTES` bounds the size of a received datagram.
const MAX_DATAGRAM_BYTES: usize = 1200;

/// `Notice` is the content of a datagram: the load and the state of a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Notice {
    service: ServiceName,
    /// The hash of the backend server's id.
    endpoint: u64,
    in_flight: u16,
    slots: u16,
    queued: u16,
    state: ServingState,
    /// The time for which the state is valid, in milliseconds; 0 if that is not known.
    state_valid_ms: u16,
    /// Whether a trial is wanted from the receiver, if the state asks for one.
    invited: bool,
}

impl Notice {
    /// `from_datagram` decodes a notice; `None` if a field is missing or cannot be read.
    pub fn from_datagram(datagram: &[u8]) -> Option<Self> {
        rmp_serde::from_slice(datagram).ok()
    }
}

/// `NeighbourExchange` exchanges notices with other nodes.
#[derive(Debug)]
pub struct NeighbourExchange {
    socket: UdpSocket,
    gate: Arc<Gate>,
    view: Arc<DirectoryView>,
    timer: Timer,
    options: NoticeOptions,
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
            options: NoticeOptions::default(),
        })
    }

    /// `run` sends and receives notices until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let mut polls = self.timer.every(POLL_INTERVAL);
        let mut schedules: HashMap<EndpointId, NoticeSchedule> = HashMap::new();
        let mut buf = [0; MAX_DATAGRAM_BYTES];
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buf) => {
                    let len = received.map_or(0, |(len, _)| len);
                    if let Some(datagram) = buf.get(..len) {
                        self.apply_datagram(datagram);
                    }
                }
                _ = polls.recv() => self.send_changes(&mut schedules).await,
                () = stop.cancelled() => return,
            }
        }
    }

    fn apply_datagram(&self, datagram: &[u8]) {
        let Some(notice) = Notice::from_datagram(datagram) else {
            debug!("neighbours: a malformed datagram is ignored");
            return;
        };
        let load = ReportedLoad {
            in_flight: notice.in_flight,
            slots: notice.slots,
            queued: notice.queued,
            state: notice.state,
            state_valid_ms: notice.state_valid_ms,
        };
        let key = EndpointKey(notice.endpoint);
        self.record(&notice.service, key, load, notice.invited);
    }

    fn record(&self, service: &ServiceName, key: EndpointKey, load: ReportedLoad, invited: bool) {
        let tables = self.view.tables();
        let table = tables.service(service);
        let Some(endpoint) = table.and_then(|t| t.find(key)) else {
            return;
        };
        let now = self.timer.now();
        endpoint.stats.record_load(now, load);
        if !invited {
            let until = now + self.options.repeat_interval;
            endpoint.stats.postpone_trial(until);
        }
    }

    async fn send_changes(&self, schedules: &mut HashMap<EndpointId, NoticeSchedule>) {
        let now = self.timer.now();
        let loads = self.gate.reported_loads();
        schedules.retain(|id, _| loads.iter().any(|(current, _)| current == id));
        for (id, load) in loads {
            // The entry role of this node needs no datagram.
            self.record(&id.service, EndpointKey::of(&id), load, true);
            let schedule = schedules.entry(id.clone()).or_default();
            let Some(receivers) = schedule.poll(now, &load, &self.options) else {
                continue;
            };
            if receivers.changed {
                info!(
                    "gate: {id} is reported as {:?}, {} in flight, {} queued",
                    receivers.condition, load.in_flight, load.queued
                );
            }
            self.send_notices(&id, load, receivers).await;
        }
    }

    async fn send_notices(&self, id: &EndpointId, load: ReportedLoad, receivers: Receivers) {
        let senders = self.gate.recent_senders(self.options.sender_age);
        let senders = self.view.peer_addresses(&senders);
        let of_region = |wanted: bool| {
            let those = senders.iter().filter(move |(near, _)| *near == wanted);
            those.map(|(_, address)| *address).collect::<Vec<_>>()
        };
        if receivers.region {
            let mut near = of_region(true);
            for address in self.view.neighbours(self.options.max_near) {
                if near.len() < self.options.max_near && !near.contains(&address) {
                    near.push(address);
                }
            }
            near.truncate(self.options.max_near);
            near.shuffle(&mut rand::rng());
            let (invited, others) = near.split_at(near.len().min(self.options.max_invited));
            self.send_to(id, load, true, invited).await;
            self.send_to(id, load, false, others).await;
        }
        if receivers.other_regions {
            let mut far = of_region(false);
            far.truncate(self.options.max_far);
            self.send_to(id, load, false, &far).await;
        }
    }

    async fn send_to(
        &self,
        id: &EndpointId,
        load: ReportedLoad,
        invited: bool,
        receivers: &[SocketAddr],
    ) {
        let notice = Notice {
            service: id.service.clone(),
            endpoint: EndpointKey::of(id).0,
            in_flight: load.in_flight,
            slots: load.slots,
            queued: load.queued,
            state: load.state,
            state_valid_ms: load.state_valid_ms,
            invited,
        };
        let Ok(datagram) = rmp_serde::to_vec(&notice) else {
            return;
        };
        for address in receivers {
            if let Err(e) = self.socket.send_to(&datagram, address).await {
                debug!("neighbours: sending a notice to {address} failed: {e}");
            }
        }
    }
}
