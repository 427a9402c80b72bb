//! The lifecycle of the endpoints of a gate: creation, configuration, reports and crashes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use shallothill_core::config::Disposition;
use shallothill_core::ids::{EndpointId, EndpointName, KeeperId, ServiceName};
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::Millis;
use shallothill_directory::{EndpointLoad, EndpointStatus, LeaseOptions};
use shallothill_policy::admit;
use shallothill_policy::admit::GateOptions;
use shallothill_policy::detect::{DetectOptions, Detector};
use shallothill_policy::eject::{EjectOptions, Ejector, EndpointHealth};
use shallothill_policy::gray::GrayOptions;
use shallothill_policy::pick::ServiceTables;
use shallothill_policy::retry::GateRetryOptions;
use shallothill_wire::crash::CrashNotice;
use tokio::time;
use tracing::warn;

use crate::gate::endpoint::EndpointInit;
use crate::gate::{Announced, Announcement, ConnectionPool, Endpoint, Gate};

/// `INCARNATION_BITS` is the number of low bits of a crash number that count the endpoint
/// incarnations of one process; the upper bits are the incarnation of the process.
const INCARNATION_BITS: u32 = 20;

/// `MAX_IDLE_CONNECTIONS` bounds the idle connections to a backend server.
const MAX_IDLE_CONNECTIONS: u16 = 64;

impl Gate {
    /// `stop_at` makes all endpoints refuse attempts that can't be answered by `at`, when the node
    /// stops.
    pub fn stop_at(&self, at: Millis) {
        let at = *self.stops_at.get_or_init(|| at);
        for endpoint in self.endpoints.load().values() {
            endpoint.stop_at(at);
        }
    }

    /// `close` drains all endpoints and ignores new announcements. The node is about to end.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
        for endpoint in self.endpoints.load().values() {
            endpoint.drain();
        }
        self.deps.changed.notify_one();
    }

    /// `apply_config` applies the configuration in force to all endpoints after it has changed.
    pub fn apply_config(&self) {
        for ((service, _), endpoint) in self.endpoints.load().iter() {
            let slots = endpoint.lock().announced_slots;
            let (gate, detect, gray) = self.service_options(service, slots);
            endpoint.set_options(gate, detect, gray);
        }
    }

    /// `update_retry_allowances` divides the retry budget of each service among its endpoints, by
    /// their number in the directory; call it about every 250 ms.
    pub fn update_retry_allowances(&self, tables: &ServiceTables) {
        let snapshot = self.deps.store.load();
        for ((service, _), endpoint) in self.endpoints.load().iter() {
            let gates = tables.service(service).map_or(1, |t| t.endpoints().len());
            let options = snapshot.service(service);
            let options = options.and_then(|s| GateRetryOptions::from_service(s, gates));
            endpoint.set_retry_allowance(options);
        }
    }

    /// `endpoint_statuses` returns the statuses that the node reports to keepers, without crashed
    /// backend servers.
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

    /// `take_loads` returns the load of each endpoint since the last call.
    pub fn take_loads(&self) -> Vec<EndpointLoad> {
        let now = self.deps.timer.now();
        let endpoints = self.endpoints.load();
        let load = |e: &Arc<Endpoint>| {
            let mut inner = e.lock();
            let queued = inner.gate.load().queued;
            inner.health.take_load(now, &e.id, queued)
        };
        endpoints.values().map(load).collect()
    }

    /// `mark_crashed` takes a backend server out of service until its next announcement and records
    /// its running requests in the quarantine.
    pub(crate) fn mark_crashed(&self, endpoint: &Endpoint) {
        let Some(running) = endpoint.mark_crashed() else {
            return;
        };
        warn!(
            "gate: {} no longer accepts connections; {} requests were running",
            endpoint.id,
            running.len()
        );
        endpoint.pool.clear();
        for fingerprint in running {
            let notice = CrashNotice {
                fingerprint,
                endpoint: endpoint.id.clone(),
                crash: endpoint.crash_number,
                age_ms: 0,
            };
            self.deps
                .crashes
                .record_local_crash(self.deps.timer.now(), notice);
        }
        self.deps.changed.notify_one();
    }

    /// `check_listening` marks a backend server as crashed if it does not accept connections. A
    /// backend server that does is checked a second time after `recheck_after`, unless that is
    /// zero.
    pub(crate) async fn check_listening(&self, endpoint: &Endpoint, recheck_after: Duration) {
        if !endpoint.is_up() {
            return;
        }
        let mut is_listening = endpoint.pool.is_listening().await;
        if is_listening && !recheck_after.is_zero() {
            time::sleep(recheck_after).await;
            is_listening = endpoint.pool.is_listening().await;
        }
        if !is_listening {
            self.mark_crashed(endpoint);
        }
    }

    // Checks whether a backend server that closes an idle connection has crashed.
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
                gate.check_listening(&endpoint, Duration::ZERO).await;
                if !endpoint.is_up() {
                    return;
                }
            }
        });
    }

    pub(super) fn new_endpoint(
        &self,
        service: &ServiceName,
        name: &EndpointName,
        a: Announcement,
        previous: Option<&Endpoint>,
    ) -> Endpoint {
        let id = EndpointId {
            service: service.clone(),
            node: self.deps.node.clone(),
            name: name.clone(),
        };
        let (admission, detect, gray) = self.service_options(service, a.slots);
        let number = self.next_incarnation.fetch_add(1, Ordering::Relaxed);
        let crash_number = (self.deps.incarnation.0 << INCARNATION_BITS) | number;
        let health = match previous {
            // Recorded flaps are kept across restarts of the backend server.
            Some(previous) => {
                let mut health = previous.lock().health.clone();
                if let Some(release) = health.on_restart() {
                    self.release_lease(release);
                }
                health
            }
            None => self.new_health(&id, Incarnation(crash_number), detect),
        };
        let init = EndpointInit {
            id,
            crash_number,
            gate: admit::Gate::new(admission, a.state == Announced::Cold),
            health,
            gray,
            expires_at: self.deps.timer.now() + self.deps.bounds.announce_lease(),
            announced_slots: a.slots,
            order: a.order(),
        };
        let max_idle = usize::from(a.slots.clamp(1, MAX_IDLE_CONNECTIONS));
        let pool = ConnectionPool::new(a.address, self.deps.bounds.connect_timeout(), max_idle);
        let endpoint = Endpoint::new(init, pool, self.deps.timer.clone());
        // What was passed on before a restart of the backend server still counts.
        if let Some(previous) = previous {
            let allowance = previous.lock().retry_allowance.clone();
            endpoint.lock().retry_allowance = allowance;
        }
        if let Some(at) = self.stops_at.get() {
            endpoint.stop_at(*at);
        }
        endpoint
    }

    fn new_health(
        &self,
        id: &EndpointId,
        incarnation: Incarnation,
        detect: DetectOptions,
    ) -> EndpointHealth {
        let region = self.deps.region.clone();
        let keepers = self.deps.keepers.group(&region);
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

    pub(super) fn service_options(
        &self,
        service: &ServiceName,
        slots: u16,
    ) -> (GateOptions, DetectOptions, GrayOptions) {
        let snapshot = self.deps.store.load();
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

    pub(super) fn set_endpoint(
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
        self.deps.changed.notify_one();
    }
}
