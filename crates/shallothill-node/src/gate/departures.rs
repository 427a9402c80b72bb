//! Departures of backend servers that must hold beyond a restart of the node.

use std::sync::Arc;
use std::time::Duration;

use shallothill_core::ids::{EndpointName, ServiceName};
use shallothill_directory::Departure;
use shallothill_runtime::clock;
use snafu::Snafu;
use tokio::time;
use tracing::{info, warn};

use crate::control;
use crate::gate::{Announcement, Gate, announcement};

/// `DepartureNotStored` is why the withdrawal of an announcement is not confirmed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display(
    "the backend server gets no more requests, but too few keepers have stored that; send it again"
))]
pub struct DepartureNotStored;

impl Gate {
    /// `withdraw_announcement` removes a backend server at its own request and stores its departure
    /// at the keepers, so that a late announcement does not register it again after a restart of
    /// the node. `started_ms` is the start of its process in milliseconds since 1970, if it is
    /// known; a withdrawal of an earlier process than the registered one removes nothing.
    ///
    /// Fails if too few keepers have stored the departure; the backend server is removed
    /// nevertheless.
    pub async fn withdraw_announcement(
        &self,
        service: &ServiceName,
        name: &EndpointName,
        started_ms: Option<u64>,
    ) -> Result<(), DepartureNotStored> {
        let key = (service.clone(), name.clone());
        let registered = self.endpoints.load().get(&key).cloned();
        let registered_ms = registered.as_ref().map(|e| e.lock().order_key.0);
        let now = clock::now();
        let started_ms = started_ms
            .filter(|ms| announcement::is_plausible_start(*ms, now))
            .or(registered_ms)
            .unwrap_or(now.0);
        let departure = final_departure(&key, started_ms);
        self.departed().insert(&departure);
        if let Some(endpoint) = registered
            && registered_ms.is_some_and(|ms| ms <= started_ms)
        {
            info!("gate: {} has withdrawn its announcement", endpoint.id);
            self.remove_endpoint(key, &endpoint);
        }
        if started_ms == 0 {
            // Its announcements cannot be told from those of later processes.
            return Ok(());
        }
        let keepers = &self.deps.keepers;
        if control::record_departure(keepers, &self.deps.node, departure).await {
            return Ok(());
        }
        warn!("gate: the departure of {service}/{name} is not stored; it is not confirmed");
        Err(DepartureNotStored)
    }

    /// `restore_departures` makes the announcements of `departures` outdated, which the node
    /// confirmed before it was restarted. Backend servers may be registered from now on.
    pub fn restore_departures(&self, departures: &[Departure]) {
        let mut departed = self.departed();
        departures.iter().for_each(|d| departed.insert(d));
        drop(departed);
        self.restored.send_replace(true);
    }

    /// `wait_restored` waits for [`Self::restore_departures`], at most for `time`; returns whether
    /// it was called.
    pub async fn wait_restored(&self, time: Duration) -> bool {
        let mut rx = self.restored.subscribe();
        let restored = time::timeout(time, rx.wait_for(|restored| *restored)).await;
        restored.is_ok()
    }

    /// `store_drain` stores that announcements up to `a` are outdated. Nobody waits for it: until it
    /// is stored, a drain is announced again within the lease.
    pub(super) fn store_drain(
        self: &Arc<Self>,
        key: &(ServiceName, EndpointName),
        a: &Announcement,
    ) {
        let departure = Departure {
            sequence: a.sequence,
            ..final_departure(key, a.started_ms)
        };
        let gate = Arc::clone(self);
        self.deps.tasks.spawn(async move {
            let keepers = &gate.deps.keepers;
            control::record_departure(keepers, &gate.deps.node, departure).await;
        });
    }
}

/// `final_departure` makes all announcements of the process that started at `started_ms` outdated.
pub(super) fn final_departure(
    (service, name): &(ServiceName, EndpointName),
    started_ms: u64,
) -> Departure {
    Departure {
        service: service.clone(),
        name: name.clone(),
        started_ms,
        sequence: u64::MAX,
    }
}
