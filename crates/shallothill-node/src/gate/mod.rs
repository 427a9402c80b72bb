//! The gate role: guards the backend servers on the node's host.

mod announcement;
mod announcements;
mod answer;
mod arrival;
mod backend;
mod claimed;
mod departed;
mod endpoint;
mod exchange;
mod head_limit;
mod ledger;
mod lifecycle;
mod slot;
mod sparing;
mod waiting;
mod watchdog;

use std::collections::BTreeMap;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};

use arc_swap::ArcSwap;
use shallothill_core::config::OncePer;
use shallothill_core::ids::{EndpointId, EndpointName, NodeName, Region, ServiceName};
use shallothill_core::incarnation::Incarnation;
use shallothill_policy::pick::ReportedLoad;
use shallothill_runtime::timer::Timer;
use tokio::sync::Notify;
use tokio_util::task::TaskTracker;

use crate::attempt::{Attempt, AttemptReply};
use crate::body::Body;
use crate::buffers::BufferBudget;
use crate::config::Store;
use crate::control::Keepers;
use crate::crashes::CrashTracker;
use crate::gate::arrival::Arrival;
use crate::gate::departed::Departed;
use crate::interface::HttpInterface;
use crate::refusal::Refusal;
use crate::settings::Bounds;

pub use announcement::{Announced, Announcement, AnnouncementError};
pub(crate) use backend::{Connection, Pool, SendError};
pub use endpoint::Endpoint;
pub(crate) use exchange::{BODY_INCOMPLETE, BODY_TOO_LARGE, BODY_TOO_SLOW};
pub use ledger::LedgerClient;
pub use slot::Running;
pub(crate) use sparing::RETRY_BUDGET_REASON;

/// `Endpoints` holds the announced backend servers.
pub type Endpoints = BTreeMap<(ServiceName, EndpointName), Arc<Endpoint>>;

/// `GateDependencies` is what a gate is built from.
#[derive(Debug)]
pub struct GateDependencies {
    /// How backend servers speak.
    pub interface: Arc<HttpInterface>,
    /// The node.
    pub node: NodeName,
    /// The node's region.
    pub region: Region,
    /// The life of the node's process.
    pub incarnation: Incarnation,
    /// Limits.
    pub bounds: Bounds,
    /// The timer service.
    pub timer: Timer,
    /// The configuration.
    pub store: Arc<Store>,
    /// The keepers.
    pub keepers: Arc<Keepers>,
    /// The quarantine.
    pub crashes: Arc<CrashTracker>,
    /// The claimant.
    pub ledger: Arc<LedgerClient>,
    /// Woken when the state of a backend server changes.
    pub changed: Arc<Notify>,
    /// The bound on request bodies in memory, shared with the entry role.
    pub buffers: BufferBudget,
    /// Tracks requests that outlive their caller.
    pub tasks: TaskTracker,
}

/// `Gate` decides whether a backend server of this host sees a request.
#[derive(Debug)]
pub struct Gate {
    parts: GateDependencies,
    endpoints: ArcSwap<Endpoints>,
    departed: Mutex<Departed>,
    stopping: AtomicBool,
    lives: std::sync::atomic::AtomicU64,
}

impl Gate {
    /// `new` builds a gate without backend servers.
    pub fn new(parts: GateDependencies) -> Self {
        Self {
            parts,
            endpoints: ArcSwap::default(),
            departed: Mutex::default(),
            stopping: AtomicBool::new(false),
            lives: std::sync::atomic::AtomicU64::new(0),
        }
    }

    /// `dependencies` returns what the gate was built from.
    pub(crate) fn dependencies(&self) -> &GateDependencies {
        &self.parts
    }

    /// `endpoints` returns the announced backend servers.
    pub fn endpoints(&self) -> Arc<Endpoints> {
        self.endpoints.load_full()
    }

    /// `ledger` returns the claimant.
    pub fn ledger(&self) -> &Arc<LedgerClient> {
        &self.parts.ledger
    }

    /// `reported_loads` returns the load of each backend server as entry nodes are told it.
    pub fn reported_loads(&self) -> Vec<(EndpointId, ReportedLoad)> {
        let endpoints = self.endpoints.load();
        let of = |e: &Arc<Endpoint>| (e.id.clone(), load(e));
        endpoints.values().map(of).collect()
    }

    /// `run` runs an attempt, or refuses it as not run. `local` attempts have passed the
    /// quarantine of this node at its entry role.
    pub async fn run(self: &Arc<Self>, attempt: Attempt, local: bool) -> AttemptReply {
        let id = &attempt.endpoint;
        let key = (id.service.clone(), id.name.clone());
        let Some(endpoint) = self.endpoints.load().get(&key).cloned() else {
            return UNKNOWN_ENDPOINT.reply_from_gate();
        };
        let arrival = Arrival::new(&self.parts.interface, &endpoint, &attempt);
        let mut reply = match self.admitted(&endpoint, attempt, local).await {
            Ok(reply) => reply,
            Err(refusal) => refusal.reply_from_gate(),
        };
        arrival.log(&endpoint, &reply, self.parts.store.version());
        reply.load = Some(load(&endpoint));
        if !endpoint.is_up() && reply.outcome != shallothill_core::outcome::Outcome::RefusedNotRun {
            reply.crash_number = Some(endpoint.crash);
        }
        reply
    }

    async fn admitted(
        self: &Arc<Self>,
        endpoint: &Arc<Endpoint>,
        mut attempt: Attempt,
        local: bool,
    ) -> Result<AttemptReply, Refusal> {
        let head = Arc::clone(&attempt.head);
        let place = if local {
            None
        } else {
            let now = self.parts.timer.now();
            match self.parts.crashes.request_permit(now, head.fingerprint) {
                Ok(place) => Some(place),
                Err(left) => {
                    // The entry node may not know the crash yet and could not withhold this.
                    let wait = self.parts.crashes.withhold_time(now, head.fingerprint);
                    tokio::time::sleep(wait).await;
                    return Err(quarantine_refusal(left));
                }
            }
        };
        endpoint.spare(attempt.caution)?;
        if attempt.repeated {
            endpoint.may_retry()?;
        }
        if head.idempotent {
            let trial = attempt.trial;
            let slot = endpoint.admit(&head, trial).await?;
            let slot = slot.for_repeated(attempt.repeated)?;
            return self.forward(slot, head, attempt.body, place).await;
        }
        let key = match head.once_per {
            OncePer::Attempt => None,
            OncePer::Key => Some(head.key.clone().ok_or(NO_KEY)?),
        };
        let expected = expected_bytes(&attempt.body, head.max_body_bytes);
        // Held until the request has been written.
        let reserved = self.parts.buffers.reserve(expected).ok_or(NO_MEMORY)?;
        let body = exchange::read_whole(&mut attempt.body, head.deadline).await?;
        let slot = endpoint.admit(&head, false).await?;
        let slot = slot.for_repeated(attempt.repeated)?;
        let reply = match key {
            Some(key) => self.run_claimed(slot, head, key, body, place).await,
            None => self.forward(slot, head, Body::full(body), place).await,
        };
        drop(reserved);
        reply
    }
}

/// `quarantine_refusal` refuses a request that crashed backend servers.
pub(crate) fn quarantine_refusal(left: std::time::Duration) -> Refusal {
    Refusal {
        retry_after: Some(left),
        ..Refusal::not_run(
            "quarantined",
            "the same request was in flight when backend servers crashed; it is held back",
        )
    }
}

// A body that is in memory already was counted where it was read.
fn expected_bytes(body: &Body, max: u64) -> usize {
    if body.is_buffered() {
        return 0;
    }
    let upper = http_body::Body::size_hint(body).upper().unwrap_or(max);
    usize::try_from(upper.min(max)).unwrap_or(usize::MAX)
}

fn load(endpoint: &Endpoint) -> ReportedLoad {
    let mut load = endpoint.reported_load();
    if let Some(state) = endpoint.suspicion() {
        load.state = state;
    }
    if !endpoint.is_up() {
        load.state = shallothill_core::health::ServingState::Draining;
    }
    load
}

const UNKNOWN_ENDPOINT: Refusal = Refusal::not_run(
    "endpoint-gone",
    "the backend server is not announced here; send the request again",
);

const NO_MEMORY: Refusal = Refusal::not_run(
    "memory",
    "the node holds too many request bodies; send the request again",
);

const NO_KEY: Refusal = Refusal::invalid(
    400,
    "no-key",
    "the route is not idempotent; send an Idempotency-Key header with a UUIDv7",
);
