//! Admits fewer new requests of a route while calls that are made for them lack capacity.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rand::Rng;
use shallothill_core::ids::RouteName;
use shallothill_core::outcome::Outcome;
use shallothill_core::time::Millis;
use shallothill_policy::backpressure::AdmissionController;

use crate::gate::ParentRequest;
use crate::refusal::Refusal;

/// `Backpressure` holds a controller for each route whose calls lacked capacity lately.
#[derive(Debug, Default)]
pub(super) struct Backpressure {
    routes: Mutex<HashMap<RouteName, AdmissionController>>,
}

impl Backpressure {
    /// `admit` decides on a new request of `route`.
    ///
    /// Fails with a refusal of outcome `RefusedNotRun`.
    pub(super) fn admit(&self, now: Millis, route: &RouteName, rank: u8) -> Result<(), Refusal> {
        let mut routes = self.lock();
        let Some(controller) = routes.get(route) else {
            return Ok(());
        };
        if controller.is_idle(now) {
            tracing::info!(
                route = route.as_str(),
                "entry: all requests are admitted again"
            );
            routes.remove(route);
            return Ok(());
        }
        let mut rng = rand::rng();
        let (draw, jitter) = (rng.random(), rng.random());
        let admitted = controller.admit(now, rank, draw, jitter);
        admitted.map_err(|retry_after| Refusal {
            retry_after: Some(retry_after),
            ..CALLS_REFUSED
        })
    }

    /// `record_shortage` records a request of which a call lacked capacity.
    pub(super) fn record_shortage(&self, now: Millis, route: &RouteName) {
        let mut routes = self.lock();
        if !routes.contains_key(route) {
            tracing::info!(
                route = route.as_str(),
                "entry: calls lack capacity, so fewer requests are admitted"
            );
        }
        let controller = routes.entry(route.clone());
        let controller = controller.or_insert_with(|| AdmissionController::new(now));
        controller.record_shortage(now);
    }

    /// `limited_routes` returns the number of routes that admit fewer requests.
    pub(super) fn limited_routes(&self, now: Millis) -> usize {
        let routes = self.lock();
        routes.values().filter(|c| !c.is_idle(now)).count()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<RouteName, AdmissionController>> {
        self.routes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// `CallInProgress` is a call of a running request. It marks that request as one whose call lacked
/// capacity if the call is refused, or if the backend server stops waiting for it.
#[derive(Debug)]
pub(super) struct CallInProgress {
    parent: Arc<ParentRequest>,
    lacked_capacity: bool,
}

impl CallInProgress {
    /// `new` starts a call of `parent`.
    pub(super) fn new(parent: Arc<ParentRequest>) -> Self {
        Self {
            parent,
            lacked_capacity: true,
        }
    }

    /// `end` ends the call with `outcome`. A call that a backend server failed found capacity.
    pub(super) fn end(mut self, outcome: Outcome) {
        self.lacked_capacity = outcome == Outcome::RefusedNotRun;
    }
}

impl Drop for CallInProgress {
    fn drop(&mut self) {
        if self.lacked_capacity {
            self.parent.record_shortage();
        }
    }
}

const CALLS_REFUSED: Refusal = Refusal::not_run(
    "calls-refused",
    "services that this kind of request calls are full; send the request later",
);
