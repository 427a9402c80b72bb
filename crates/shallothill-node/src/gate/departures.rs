//! Departures of backend servers that must hold beyond a restart of the node.

use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

use shallothill_core::health::ServingState;
use shallothill_core::ids::{EndpointName, ServiceName};
use shallothill_directory::Departure;
use shallothill_runtime::clock;
use snafu::Snafu;
use tokio::time;
use tracing::{info, warn};

use crate::control;
use crate::gate::life_signs::LifeSigns;
use crate::gate::{Announcement, AnnouncementError, Gate, StartTime};

/// `MAX_RESTORE_WAIT` is the time for which an announcement waits at the start of the node until the
/// earlier departures are known. Backend servers wait about a second for the acknowledgement.
const MAX_RESTORE_WAIT: Duration = Duration::from_millis(800);

/// `EarlierDepartures` is what the node knows of the departures that it confirmed before its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum EarlierDepartures {
    /// The keepers are being asked; nothing is registered.
    #[default]
    Asked,
    /// No majority of the keepers has answered yet; backend servers that show that they live are
    /// registered.
    Unknown,
    /// The departures are recorded.
    Known,
}

/// `WithdrawalError` is why the withdrawal of an announcement is not confirmed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum WithdrawalError {
    /// The stated start lies in the future; nothing has changed.
    #[snafu(display(
        "the start lies in the future; set the clocks of the host and the backend server"
    ))]
    FutureStart,
    /// The backend server is removed, but too few keepers have stored that.
    #[snafu(display(
        "the backend server gets no more requests, but too few keepers have stored that; send it \
         again"
    ))]
    NotStored,
}

impl Gate {
    /// `withdraw_announcement` removes a backend server at its own request and stores its departure
    /// at the keepers, so that a late announcement does not register it again after a restart of
    /// the node. `stated` is the start of its process, if the request states it; a withdrawal of an
    /// earlier process than the registered one removes nothing.
    ///
    /// Fails, and changes nothing, if the stated start lies in the future. Fails if too few keepers
    /// have stored the departure; the backend server is removed nevertheless.
    pub async fn withdraw_announcement(
        &self,
        service: &ServiceName,
        name: &EndpointName,
        stated: Option<StartTime>,
    ) -> Result<(), WithdrawalError> {
        let now = clock::now();
        if stated.is_some_and(|start| !start.is_plausible(now)) {
            return Err(WithdrawalError::FutureStart);
        }
        let key = (service.clone(), name.clone());
        let registered = self.endpoints.load().get(&key).cloned();
        let registered_start = registered.as_ref().map(|e| e.lock().order.start);
        let start = stated.or(registered_start.unwrap_or_else(|| StartTime::new(now.0)));
        let departure = start.map(|start| final_departure(&key, start));
        if let Some(departure) = &departure {
            self.departed().insert(departure);
        }
        if let Some(endpoint) = registered
            && registered_start.is_some_and(|registered| registered <= start)
        {
            info!("gate: {} has withdrawn its announcement", endpoint.id);
            self.remove_endpoint(key, &endpoint);
        }
        let Some(departure) = departure else {
            // Its announcements cannot be told from those of later processes.
            return Ok(());
        };
        let keepers = &self.deps.keepers;
        if control::record_departure(keepers, &self.deps.node, departure).await {
            return Ok(());
        }
        warn!("gate: the departure of {service}/{name} is not stored; it is not confirmed");
        Err(WithdrawalError::NotStored)
    }

    /// `announce_after_restore` is [`Self::announce`] for announcements that arrive from outside: it
    /// waits until the departures from before the start of the node are known, at most for
    /// [`MAX_RESTORE_WAIT`].
    ///
    /// Fails with `DeparturesUnknown`, and changes nothing, as long as a backend server that has left
    /// may have sent the announcement.
    pub async fn announce_after_restore(
        self: &Arc<Self>,
        service: &ServiceName,
        name: &EndpointName,
        a: Announcement,
    ) -> Result<(), AnnouncementError> {
        let mut rx = self.earlier_departures.subscribe();
        let earlier = *rx.borrow();
        if earlier == EarlierDepartures::Known {
            return self.announce(service, name, a);
        }
        let now = self.deps.timer.now();
        let shows_life = self
            .life_signs()
            .record(now, (service.clone(), name.clone()), &a);
        let known = rx.wait_for(|earlier| match earlier {
            EarlierDepartures::Asked => false,
            EarlierDepartures::Unknown => shows_life,
            EarlierDepartures::Known => true,
        });
        if time::timeout(MAX_RESTORE_WAIT, known).await.is_err() {
            return Err(AnnouncementError::DeparturesUnknown);
        }
        let announced = self.announce(service, name, a);
        // The departures may have become known meanwhile.
        self.remove_departed();
        announced
    }

    /// `register_by_life_signs` registers backend servers that show that they live from now on, until
    /// [`Self::restore_departures`].
    pub fn register_by_life_signs(&self) {
        self.earlier_departures
            .send_replace(EarlierDepartures::Unknown);
    }

    /// `restore_departures` makes the announcements of `departures` outdated, which the node
    /// confirmed before it was restarted, and removes the backend servers that sent them. All others
    /// may be registered from now on.
    pub fn restore_departures(&self, departures: &[Departure]) {
        let mut departed = self.departed();
        departures.iter().for_each(|d| departed.insert(d));
        drop(departed);
        self.earlier_departures
            .send_replace(EarlierDepartures::Known);
        self.life_signs().clear();
        self.remove_departed();
    }

    // One that drains gets no new requests, and its next announcement would register it again.
    fn remove_departed(&self) {
        for (key, endpoint) in self.endpoints.load().iter() {
            let inner = endpoint.lock();
            let start = inner.order.start;
            let draining = inner.gate.state() == ServingState::Draining;
            drop(inner);
            if !draining && self.departed().has_left(key, start) {
                info!("gate: {} has left and is removed", endpoint.id);
                self.remove_endpoint(key.clone(), endpoint);
            }
        }
    }

    fn life_signs(&self) -> MutexGuard<'_, LifeSigns> {
        self.life_signs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// `record_drain` makes all announcements of the process that has sent `a` outdated, but for later
    /// ones that it drains. Nobody waits until the keepers have stored it: until then, a drain is
    /// announced again within the lease.
    pub(super) fn record_drain(
        self: &Arc<Self>,
        key: &(ServiceName, EndpointName),
        a: &Announcement,
    ) {
        let Some(start) = a.start else {
            return;
        };
        let departure = Departure {
            sequence: a.sequence,
            ..final_departure(key, start)
        };
        self.departed().insert(&departure);
        // The name may be registered for another service as well.
        self.remove_departed();
        let gate = Arc::clone(self);
        self.deps.tasks.spawn(async move {
            let keepers = &gate.deps.keepers;
            control::record_departure(keepers, &gate.deps.node, departure).await;
        });
    }
}

/// `final_departure` makes all announcements of the process that started at `start` outdated.
pub(super) fn final_departure(
    (service, name): &(ServiceName, EndpointName),
    start: StartTime,
) -> Departure {
    Departure {
        service: service.clone(),
        name: name.clone(),
        started_ms: start.as_millis(),
        sequence: u64::MAX,
    }
}
