//! Takes announcements of backend servers and ends them.

use std::sync::atomic::Ordering;
use std::sync::{Arc, MutexGuard, PoisonError};

use shallothill_core::health::ServingState;
use shallothill_core::ids::{EndpointName, ServiceName};
use shallothill_runtime::clock;
use tracing::{info, warn};

use crate::gate::departed::Departed;
use crate::gate::{Announced, Announcement, AnnouncementError, Endpoint, Gate};

impl Gate {
    /// `announce` takes an announcement, which holds for the lease. One that is older than what is
    /// known changes nothing.
    ///
    /// Fails, and changes nothing either, when its values cannot be those of a backend server.
    pub fn announce(
        self: &Arc<Self>,
        service: &ServiceName,
        name: &EndpointName,
        a: Announcement,
    ) -> Result<(), AnnouncementError> {
        let key = (service.clone(), name.clone());
        let known = self.endpoints.load().get(&key).cloned();
        let order = known.as_ref().map(|e| e.lock().announced);
        a.check(clock::now())
            .and_then(|()| order.map_or(Ok(()), |order| a.check_after(order)))
            .inspect_err(|e| warn!("gate: an announcement of {service}/{name} is refused: {e}"))?;
        self.take_announcement(&key, known, a);
        Ok(())
    }

    fn take_announcement(
        self: &Arc<Self>,
        key: &(ServiceName, EndpointName),
        known: Option<Arc<Endpoint>>,
        a: Announcement,
    ) {
        let (service, name) = key;
        if self.is_outdated(key, &a) {
            info!("gate: an old announcement of {service}/{name} is ignored");
            return;
        }
        if self.stopping.load(Ordering::Relaxed) {
            return;
        }
        self.drop_predecessors(key, &a);
        let until = self.parts.timer.now() + self.parts.bounds.announce_lease();
        if let Some(endpoint) = &known
            && endpoint.pool.address() == a.address
        {
            let mut inner = endpoint.lock();
            let leaving = inner.gate.state() == ServingState::Draining;
            let same_life = inner.announced.0 == a.started_ms;
            if inner.up && same_life && (!leaving || a.state == Announced::Draining) {
                inner.announced_until = until;
                inner.announced = a.order();
                if inner.announced_slots != a.slots {
                    inner.announced_slots = a.slots;
                    let (gate, ..) = self.options(service, a.slots);
                    inner.gate.set_options(gate);
                }
                drop(inner);
                if a.state == Announced::Draining && !leaving {
                    info!("gate: {} drains", endpoint.id);
                    endpoint.drain();
                    self.parts.changed.notify_one();
                }
                return;
            }
        }
        let endpoint = Arc::new(self.start_life(service, name, a, known.as_deref()));
        info!("gate: {} is announced at {}", endpoint.id, a.address);
        if a.state == Announced::Draining {
            endpoint.drain();
        }
        if let Some(former) = known {
            former.drain();
        }
        self.watch_connections(&endpoint);
        self.replace(key.clone(), Some(endpoint));
    }

    /// `withdraw_announcement` takes an announcement back; returns whether there was one.
    pub fn withdraw_announcement(&self, service: &ServiceName, name: &EndpointName) -> bool {
        let key = (service.clone(), name.clone());
        let Some(endpoint) = self.endpoints.load().get(&key).cloned() else {
            return false;
        };
        info!("gate: {} has left", endpoint.id);
        self.end_announcement(key, &endpoint);
        true
    }

    // Late announcements of the same life change nothing from now on.
    fn end_announcement(&self, key: (ServiceName, EndpointName), endpoint: &Endpoint) {
        let started_ms = endpoint.lock().announced.0;
        self.departed().insert(key.clone(), started_ms);
        self.drop_announcement(key, endpoint);
    }

    fn drop_announcement(&self, key: (ServiceName, EndpointName), endpoint: &Endpoint) {
        endpoint.drain();
        endpoint.pool.clear();
        self.replace(key, None);
    }

    fn departed(&self) -> MutexGuard<'_, Departed> {
        self.departed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    // Announcements may arrive late, after a newer one or after the end of their sender.
    fn is_outdated(&self, key: &(ServiceName, EndpointName), a: &Announcement) -> bool {
        if self.departed().has_ended(key, a.started_ms) {
            return true;
        }
        let newer = |(other, e): (&(ServiceName, EndpointName), &Arc<Endpoint>)| {
            let known = e.lock().announced;
            if other == key {
                known > a.order()
            } else {
                e.pool.address() == a.address && a.started_ms > 0 && known.0 > a.started_ms
            }
        };
        self.endpoints.load().iter().any(newer)
    }

    // A backend server that starts at an address shows that the one before it there has gone. Its
    // announcements count as older while the later one is announced.
    fn drop_predecessors(&self, key: &(ServiceName, EndpointName), a: &Announcement) {
        let earlier = |(other, e): (&(ServiceName, EndpointName), &Arc<Endpoint>)| {
            let known = e.lock().announced.0;
            let same_place = other != key && e.pool.address() == a.address;
            (same_place && known > 0 && known < a.started_ms)
                .then(|| (other.clone(), Arc::clone(e)))
        };
        let gone: Vec<_> = self.endpoints.load().iter().filter_map(earlier).collect();
        for (key, endpoint) in gone {
            info!("gate: {} has a successor at its address", endpoint.id);
            self.drop_announcement(key, &endpoint);
        }
    }

    /// `expire_announcements` drops backend servers that no longer announce themselves. One that was not draining
    /// may only have paused, so it returns with its next announcement.
    pub fn expire_announcements(&self) {
        let now = self.parts.timer.now();
        for (key, endpoint) in self.endpoints.load().iter() {
            let inner = endpoint.lock();
            let expired = inner.announced_until <= now;
            let drains = inner.gate.state() == ServingState::Draining;
            drop(inner);
            if !expired {
                continue;
            }
            warn!("gate: {} stopped announcing itself", endpoint.id);
            if drains {
                self.end_announcement(key.clone(), endpoint);
            } else {
                self.drop_announcement(key.clone(), endpoint);
            }
        }
    }
}
