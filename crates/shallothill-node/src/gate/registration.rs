//! Registers backend servers by their announcements and removes them.

use std::sync::atomic::Ordering;
use std::sync::{Arc, MutexGuard, PoisonError};

use shallothill_core::health::ServingState;
use shallothill_core::ids::{EndpointName, ServiceName};
use shallothill_runtime::clock;
use tracing::{info, warn};

use crate::gate::departed::DepartedEndpoints;
use crate::gate::departures::final_departure;
use crate::gate::{Announced, Announcement, AnnouncementError, Endpoint, Gate};

impl Gate {
    /// `announce` registers a backend server or renews its registration for the announcement lease.
    /// An announcement that is older than the last one is ignored.
    ///
    /// Fails, and changes nothing, when a value cannot come from a working backend server.
    pub fn announce(
        self: &Arc<Self>,
        service: &ServiceName,
        name: &EndpointName,
        a: Announcement,
    ) -> Result<(), AnnouncementError> {
        let key = (service.clone(), name.clone());
        let current = self.endpoints.load().get(&key).cloned();
        let previous = current.as_ref().map(|e| e.lock().order);
        a.validate(clock::now())
            .and_then(|()| previous.map_or(Ok(()), |previous| a.validate_order(previous)))
            .and_then(|()| self.validate_start(&key, &a))
            .inspect_err(|e| warn!("gate: an announcement of {service}/{name} is refused: {e}"))?;
        self.apply_announcement(&key, current, a);
        Ok(())
    }

    fn validate_start(
        &self,
        key: &(ServiceName, EndpointName),
        a: &Announcement,
    ) -> Result<(), AnnouncementError> {
        if a.start.is_none() && self.departed().contains(key) {
            return Err(AnnouncementError::UnknownStart);
        }
        Ok(())
    }

    fn apply_announcement(
        self: &Arc<Self>,
        key: &(ServiceName, EndpointName),
        current: Option<Arc<Endpoint>>,
        a: Announcement,
    ) {
        let (service, name) = key;
        if self.is_stale(key, &a) {
            info!("gate: an outdated announcement of {service}/{name} is ignored");
            return;
        }
        if self.closed.load(Ordering::Relaxed) {
            // The next process of the node must know of this drain, which is acknowledged.
            if a.state == Announced::Draining {
                self.record_drain(key, &a);
            }
            return;
        }
        self.remove_predecessors(key, &a);
        let expires_at = self.deps.timer.now() + self.deps.bounds.announce_lease();
        if let Some(endpoint) = &current
            && endpoint.pool.address() == a.address
        {
            let mut inner = endpoint.lock();
            let draining = inner.gate.state() == ServingState::Draining;
            let same_incarnation = inner.order.start == a.start;
            if inner.up && same_incarnation && (!draining || a.state == Announced::Draining) {
                inner.expires_at = expires_at;
                inner.order = inner.order.max(a.order());
                if inner.announced_slots != a.slots {
                    inner.announced_slots = a.slots;
                    let (gate, ..) = self.service_options(service, a.slots);
                    inner.gate.set_options(gate);
                }
                drop(inner);
                if a.state == Announced::Draining && !draining {
                    info!("gate: {} is draining", endpoint.id);
                    endpoint.drain();
                    self.record_drain(key, &a);
                    self.deps.changed.notify_one();
                }
                return;
            }
        }
        let endpoint = Arc::new(self.new_endpoint(service, name, a, current.as_deref()));
        info!("gate: {} is announced at {}", endpoint.id, a.address);
        if a.state == Announced::Draining {
            endpoint.drain();
            self.record_drain(key, &a);
        }
        if let Some(previous) = current {
            previous.drain();
        }
        self.watch_connections(&endpoint);
        self.set_endpoint(key.clone(), Some(endpoint));
    }

    pub(super) fn remove_endpoint(&self, key: (ServiceName, EndpointName), endpoint: &Endpoint) {
        endpoint.drain();
        endpoint.pool.clear();
        self.set_endpoint(key, None);
    }

    pub(super) fn departed(&self) -> MutexGuard<'_, DepartedEndpoints> {
        self.departed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    // Announcements may arrive late, after a newer one or after their sender has departed.
    fn is_stale(&self, key: &(ServiceName, EndpointName), a: &Announcement) -> bool {
        if self.departed().is_outdated(key, a) {
            return true;
        }
        let newer = |(other, e): (&(ServiceName, EndpointName), &Arc<Endpoint>)| {
            let current = e.lock().order;
            if other == key {
                // A drain is final, so it counts also if it arrives late.
                let drains = a.state == Announced::Draining && a.start.is_some();
                current > a.order() && !(drains && current.start == a.start)
            } else {
                e.pool.address() == a.address && a.start.is_some() && current.start > a.start
            }
        };
        self.endpoints.load().iter().any(newer)
    }

    // A backend server that starts at an address proves that the previous one there has ended.
    // Announcements of the previous one are outdated as long as the new one is registered.
    fn remove_predecessors(&self, key: &(ServiceName, EndpointName), a: &Announcement) {
        let earlier = |(other, e): (&(ServiceName, EndpointName), &Arc<Endpoint>)| {
            let current = e.lock().order.start;
            let same_address = other != key && e.pool.address() == a.address;
            (same_address && current.is_some() && current < a.start)
                .then(|| (other.clone(), Arc::clone(e)))
        };
        let predecessors: Vec<_> = self.endpoints.load().iter().filter_map(earlier).collect();
        for (key, endpoint) in predecessors {
            info!(
                "gate: {} is replaced by a newer backend server at its address",
                endpoint.id
            );
            self.remove_endpoint(key, &endpoint);
        }
    }

    /// `expire_announcements` removes backend servers that did not renew their announcement lease.
    /// One that was not draining may only have been paused, so its next announcement registers it
    /// again.
    pub fn expire_announcements(&self) {
        let now = self.deps.timer.now();
        for (key, endpoint) in self.endpoints.load().iter() {
            let inner = endpoint.lock();
            let expired = inner.expires_at <= now;
            let draining = inner.gate.state() == ServingState::Draining;
            drop(inner);
            if !expired {
                continue;
            }
            warn!(
                "gate: {} did not renew its announcement in time and is removed",
                endpoint.id
            );
            let start = endpoint.lock().order.start;
            if draining && let Some(start) = start {
                self.departed().insert(&final_departure(key, start));
            }
            self.remove_endpoint(key.clone(), endpoint);
        }
    }
}
