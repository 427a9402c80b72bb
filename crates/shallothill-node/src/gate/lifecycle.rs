//! Lives, loads and crashes of backend servers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use shallothill_core::config::Disposition;
use shallothill_core::ids::{EndpointId, EndpointName, KeeperId, ServiceName};
use shallothill_core::incarnation::Incarnation;
use shallothill_directory::{EndpointLoad, EndpointStatus, LeaseOptions};
use shallothill_policy::admit;
use shallothill_policy::admit::GateOptions;
use shallothill_policy::detect::{DetectOptions, Detector};
use shallothill_policy::eject::{EjectOptions, Ejector, EndpointHealth};
use shallothill_policy::gray::GrayOptions;
use shallothill_policy::pick::Tables;
use shallothill_policy::retry::AllowanceOptions;
use shallothill_wire::crash::CrashNotice;
use tokio::time;
use tracing::warn;

use crate::gate::endpoint::Life;
use crate::gate::{Announced, Announcement, Endpoint, Gate, Pool};

/// `LIVES_BITS` is the part of a crash number that counts lives within one process.
const LIVES_BITS: u32 = 20;

/// `IDLE_CONNECTIONS` bounds the idle connections to one backend server.
const IDLE_CONNECTIONS: u16 = 64;

impl Gate {
    /// `drain_all` refuses all new work, when the node stops.
    pub fn drain_all(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        for endpoint in self.endpoints.load().values() {
            endpoint.drain();
        }
        self.parts.changed.notify_one();
    }

    /// `apply_config` takes over a changed configuration.
    pub fn apply_config(&self) {
        for ((service, _), endpoint) in self.endpoints.load().iter() {
            let slots = endpoint.lock().announced_slots;
            let (gate, detect, gray) = self.options(service, slots);
            endpoint.set_options(gate, detect, gray);
        }
    }

    /// `update_retry_allowances` gives each backend server its part in the retries of its service, by the number
    /// of gates that the directory knows; call it about every 250 ms.
    pub fn update_retry_allowances(&self, tables: &Tables) {
        let snapshot = self.parts.store.load();
        for ((service, _), endpoint) in self.endpoints.load().iter() {
            let gates = tables.service(service).map_or(1, |t| t.endpoints().len());
            let options = snapshot.service(service);
            let options = options.and_then(|s| AllowanceOptions::from_service(s, gates));
            endpoint.share_retries(options);
        }
    }

    /// `endpoint_statuses` returns what other nodes need to know; crashed backend servers are left out.
    pub fn endpoint_statuses(&self) -> Vec<EndpointStatus> {
        let endpoints = self.endpoints.load();
        let status = |((service, name), e): (&(ServiceName, EndpointName), &Arc<Endpoint>)| {
            let inner = e.lock();
            inner.up.then(|| EndpointStatus {
                service: service.clone(),
                name: name.clone(),
                slots: inner.announced_slots,
                state: inner.gate.state(),
            })
        };
        endpoints.iter().filter_map(status).collect()
    }

    /// `take_loads` returns the load since the last call.
    pub fn take_loads(&self) -> Vec<EndpointLoad> {
        let now = self.parts.timer.now();
        let endpoints = self.endpoints.load();
        let load = |e: &Arc<Endpoint>| {
            let mut inner = e.lock();
            let queued = inner.gate.load().queued;
            inner.health.load(now, &e.id, queued)
        };
        endpoints.values().map(load).collect()
    }

    /// `end_life` takes a backend server out of service until it announces itself again, and
    /// records the requests that it was running.
    pub(crate) fn end_life(&self, endpoint: &Endpoint) {
        let Some(running) = endpoint.crashed() else {
            return;
        };
        warn!(
            "gate: {} no longer listens; {} requests were running",
            endpoint.id,
            running.len()
        );
        endpoint.pool.clear();
        for fingerprint in running {
            let notice = CrashNotice {
                fingerprint,
                endpoint: endpoint.id.clone(),
                crash: endpoint.crash,
                age_ms: 0,
            };
            self.parts
                .crashes
                .record_local_crash(self.parts.timer.now(), notice);
        }
        self.parts.changed.notify_one();
    }

    /// `check_listener` ends the life of a backend server that does not listen. It asks again
    /// after `again`, unless that is zero.
    pub(crate) async fn check_listener(&self, endpoint: &Endpoint, again: Duration) {
        if !endpoint.is_up() {
            return;
        }
        let mut listens = endpoint.pool.listens().await;
        if listens && !again.is_zero() {
            time::sleep(again).await;
            listens = endpoint.pool.listens().await;
        }
        if !listens {
            self.end_life(endpoint);
        }
    }

    // A backend server that closes an idle connection may have gone.
    pub(super) fn watch_connections(self: &Arc<Self>, endpoint: &Arc<Endpoint>) {
        let gate = Arc::downgrade(self);
        let endpoint = Arc::downgrade(endpoint);
        tokio::spawn(async move {
            loop {
                let Some(closed) = endpoint.upgrade().map(|e| e.pool.closed()) else {
                    return;
                };
                closed.notified().await;
                let (Some(gate), Some(endpoint)) = (gate.upgrade(), endpoint.upgrade()) else {
                    return;
                };
                gate.check_listener(&endpoint, Duration::ZERO).await;
                if !endpoint.is_up() {
                    return;
                }
            }
        });
    }

    pub(super) fn start_life(
        &self,
        service: &ServiceName,
        name: &EndpointName,
        a: Announcement,
        former: Option<&Endpoint>,
    ) -> Endpoint {
        let id = EndpointId {
            service: service.clone(),
            node: self.parts.node.clone(),
            name: name.clone(),
        };
        let (options, detect, gray) = self.options(service, a.slots);
        let number = self.lives.fetch_add(1, Ordering::Relaxed);
        let crash = (self.parts.incarnation.0 << LIVES_BITS) | number;
        let health = match former {
            // Flaps are remembered over a restart.
            Some(former) => {
                let mut health = former.lock().health.clone();
                if let Some(release) = health.announced_anew() {
                    self.release(release);
                }
                health
            }
            None => self.new_health(&id, Incarnation(crash), detect),
        };
        let life = Life {
            id,
            crash,
            gate: admit::Gate::new(options, a.state == Announced::Cold),
            health,
            gray,
            announced_until: self.parts.timer.now() + self.parts.bounds.announce_lease(),
            announced_slots: a.slots,
            announced: a.order(),
        };
        let max_idle = usize::from(a.slots.clamp(1, IDLE_CONNECTIONS));
        let pool = Pool::new(a.address, self.parts.bounds.connect_timeout(), max_idle);
        Endpoint::new(life, pool, self.parts.timer.clone())
    }

    fn new_health(
        &self,
        id: &EndpointId,
        incarnation: Incarnation,
        detect: DetectOptions,
    ) -> EndpointHealth {
        let region = self.parts.region.clone();
        let keepers = self.parts.keepers.group(&region);
        let ids: Vec<KeeperId> = keepers.iter().map(|k| k.id()).collect();
        let ejector = Ejector::new(
            id.clone(),
            region,
            &ids,
            incarnation,
            LeaseOptions::default(),
            EjectOptions::default(),
        );
        EndpointHealth::new(Detector::new(detect), ejector)
    }

    pub(super) fn options(
        &self,
        service: &ServiceName,
        slots: u16,
    ) -> (GateOptions, DetectOptions, GrayOptions) {
        let snapshot = self.parts.store.load();
        match snapshot.service(service) {
            Some(service) => (
                GateOptions::from_service(service, slots),
                DetectOptions::from_service(service),
                GrayOptions::from_service(service),
            ),
            None => {
                let fallback = GateOptions {
                    slots: slots.max(1),
                    ..GateOptions::default()
                };
                let disposition = Disposition::CAUTIOUS;
                let detect = DetectOptions::new(fallback.expected_latency, disposition);
                (fallback, detect, GrayOptions::default())
            }
        }
    }

    pub(super) fn replace(
        &self,
        key: (ServiceName, EndpointName),
        endpoint: Option<Arc<Endpoint>>,
    ) {
        self.endpoints.rcu(|endpoints| {
            let mut next = BTreeMap::clone(endpoints);
            match &endpoint {
                Some(endpoint) => next.insert(key.clone(), Arc::clone(endpoint)),
                None => next.remove(&key),
            };
            next
        });
        self.parts.changed.notify_one();
    }
}
