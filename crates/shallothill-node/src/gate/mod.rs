//! The gate role: decides which requests reach the backend servers on the node's host.

mod announcement;
mod attempt_limits;
mod attempt_log;
mod claimed_request;
mod connection_pool;
mod departed;
mod departures;
mod endpoint;
mod exchange;
mod head_limit;
mod ledger_client;
mod life_signs;
mod lifecycle;
mod parent_requests;
mod queued_request;
mod registration;
mod response_check;
mod slot;
mod start_time;
mod watchdog;

use std::collections::BTreeMap;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use shallothill_core::config::{BodyMode, OncePer};
use shallothill_core::ids::{EndpointId, EndpointName, NodeName, Region, ServiceName};
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::Millis;
use shallothill_policy::notices::RecentSenders;
use shallothill_policy::pick::ReportedLoad;
use shallothill_policy::retry::RetryWorth;
use shallothill_runtime::clock;
use shallothill_runtime::memory::MemoryAccount;
use shallothill_runtime::timer::Timer;
use tokio::sync::{Notify, watch};
use tokio_util::task::TaskTracker;

use crate::attempt::{Attempt, AttemptReply, RequestHead};
use crate::body::Body;
use crate::config::ConfigStore;
use crate::control::Keepers;
use crate::counters::Counters;
use crate::crashes::CrashTracker;
use crate::gate::attempt_log::AttemptLog;
use crate::gate::departed::DepartedEndpoints;
use crate::gate::departures::EarlierDepartures;
use crate::gate::life_signs::LifeSigns;
use crate::interface::HttpInterface;
use crate::refusal::Refusal;
use crate::settings::Bounds;

pub use announcement::{Announced, Announcement, AnnouncementError};
pub(crate) use attempt_limits::RETRY_BUDGET_REASON;
pub(crate) use claimed_request::NO_QUORUM_REASON;
pub(crate) use connection_pool::{Connection, ConnectionPool, SendError};
pub use departures::WithdrawalError;
pub use endpoint::Endpoint;
pub(crate) use exchange::{
    BODY_INCOMPLETE, BODY_TOO_LARGE, BODY_TOO_SLOW, MEMORY_SHORT, MEMORY_WAIT,
};
pub use ledger_client::LedgerClient;
pub use parent_requests::ParentRequest;
pub(crate) use parent_requests::{CallShortage, ParentRequests};
pub use slot::RunningRequest;
pub use start_time::StartTime;

/// `Endpoints` maps service and name of each registered backend server to its endpoint.
pub type Endpoints = BTreeMap<(ServiceName, EndpointName), Arc<Endpoint>>;

/// `GateDependencies` contains the components and settings that a gate is built from.
#[derive(Debug)]
pub struct GateDependencies {
    /// The HTTP headers and rules of callers and backend servers.
    pub interface: Arc<HttpInterface>,
    /// The name of the node, which identifies it in claims and leases.
    pub node: NodeName,
    /// The node's region, whose keepers grant ejection leases.
    pub region: Region,
    /// The incarnation of the node's process.
    pub incarnation: Incarnation,
    /// Limits and timeouts from the settings.
    pub bounds: Bounds,
    /// The timer service, which also provides the monotonic clock.
    pub timer: Timer,
    /// The configuration store.
    pub store: Arc<ConfigStore>,
    /// The keepers that the node knows.
    pub keepers: Arc<Keepers>,
    /// The quarantine of requests that crash backend servers.
    pub crashes: Arc<CrashTracker>,
    /// The ledger client, which claims idempotency keys.
    pub ledger: Arc<LedgerClient>,
    /// Notified when the state of a backend server changes, so that it is reported at once.
    pub changed: Arc<Notify>,
    /// The account of all bytes that are held for clients, shared with the entry role.
    pub memory: MemoryAccount,
    /// The counters of refused attempts.
    pub counters: Arc<Counters>,
    /// Tracks background tasks, such as requests whose caller has disconnected, for the stop.
    pub tasks: TaskTracker,
}

/// `Gate` admits, queues or refuses requests for the backend servers on this host.
#[derive(Debug)]
pub struct Gate {
    deps: GateDependencies,
    endpoints: ArcSwap<Endpoints>,
    departed: Mutex<DepartedEndpoints>,
    /// The other nodes that have sent attempts lately.
    senders: Mutex<RecentSenders>,
    /// Whether the departures from before the start of the node are known.
    earlier_departures: watch::Sender<EarlierDepartures>,
    /// What was announced while they are not known.
    life_signs: Mutex<LifeSigns>,
    /// Set when the node begins to stop.
    stops_at: OnceLock<Millis>,
    /// Whether the gate takes no more attempts and announcements.
    closed: AtomicBool,
    next_incarnation: std::sync::atomic::AtomicU64,
    /// The requests that run here, if their calls can be recognised.
    parent_requests: ParentRequests,
}

impl Gate {
    /// `new` builds a gate without registered backend servers.
    pub fn new(deps: GateDependencies) -> Self {
        let life_signs = LifeSigns::new(clock::now(), deps.bounds.announce_lease());
        let departed = DepartedEndpoints::new(deps.interface.unique_endpoint_names);
        Self {
            deps,
            endpoints: ArcSwap::default(),
            departed: Mutex::new(departed),
            senders: Mutex::default(),
            earlier_departures: watch::Sender::default(),
            life_signs: Mutex::new(life_signs),
            stops_at: OnceLock::new(),
            closed: AtomicBool::new(false),
            next_incarnation: std::sync::atomic::AtomicU64::new(0),
            parent_requests: ParentRequests::default(),
        }
    }

    /// `dependencies` returns the components that the gate was built from.
    pub(crate) fn dependencies(&self) -> &GateDependencies {
        &self.deps
    }

    /// `endpoints` returns a snapshot of the registered backend servers.
    pub fn endpoints(&self) -> Arc<Endpoints> {
        self.endpoints.load_full()
    }

    /// `ledger` returns the client that claims idempotency keys.
    pub fn ledger(&self) -> &Arc<LedgerClient> {
        &self.deps.ledger
    }

    /// `parent_requests` returns the requests that run here and whose calls can be recognised.
    pub(crate) fn parent_requests(&self) -> &ParentRequests {
        &self.parent_requests
    }

    /// `reported_loads` returns the load of each backend server as it is reported to entry nodes.
    pub fn reported_loads(&self) -> Vec<(EndpointId, ReportedLoad)> {
        let endpoints = self.endpoints.load();
        let of = |e: &Arc<Endpoint>| (e.id.clone(), reported_load(e));
        endpoints.values().map(of).collect()
    }

    /// `record_sender` records that `node` sent an attempt.
    pub fn record_sender(&self, node: &NodeName) {
        let now = self.deps.timer.now();
        let mut senders = self.senders.lock().unwrap_or_else(PoisonError::into_inner);
        senders.record(now, node);
    }

    /// `recent_senders` returns the other nodes that sent attempts within `max_age`, the latest
    /// first.
    pub fn recent_senders(&self, max_age: Duration) -> Vec<NodeName> {
        let now = self.deps.timer.now();
        let mut senders = self.senders.lock().unwrap_or_else(PoisonError::into_inner);
        senders.list(now, max_age)
    }

    /// `run` runs an attempt or refuses it. `local` attempts come from the entry role of this node,
    /// which has checked the quarantine already.
    pub async fn run(self: &Arc<Self>, attempt: Attempt, local: bool) -> AttemptReply {
        let id = &attempt.endpoint;
        let key = (id.service.clone(), id.name.clone());
        let Some(endpoint) = self.endpoints.load().get(&key).cloned() else {
            return UNKNOWN_ENDPOINT.reply_from_gate();
        };
        let attempt_log = AttemptLog::new(&self.deps.interface, &endpoint, &attempt);
        let mut reply = match self.admit_and_run(&endpoint, attempt, local).await {
            Ok(reply) => reply,
            Err(refusal) => {
                if !refusal.reached_backend {
                    self.deps.counters.count_refused(refusal.reason);
                }
                refusal.reply_from_gate()
            }
        };
        attempt_log.log(&endpoint, &reply, self.deps.store.version());
        reply.load = Some(reported_load(&endpoint));
        if !endpoint.is_up() && reply.outcome != shallothill_core::outcome::Outcome::RefusedNotRun {
            reply.crash_number = Some(endpoint.crash_number);
        }
        reply
    }

    async fn admit_and_run(
        self: &Arc<Self>,
        endpoint: &Arc<Endpoint>,
        mut attempt: Attempt,
        local: bool,
    ) -> Result<AttemptReply, Refusal> {
        let head = Arc::clone(&attempt.head);
        let permit = if local {
            None
        } else {
            let now = self.deps.timer.now();
            match self.deps.crashes.request_permit(now, head.fingerprint) {
                Ok(permit) => Some(permit),
                Err(remaining) => {
                    // The entry node may not know of the crash yet and then does not delay the
                    // refusal itself.
                    let wait = self.deps.crashes.withhold_time(now, head.fingerprint);
                    tokio::time::sleep(wait).await;
                    return Err(quarantine_refusal(remaining));
                }
            }
        };
        endpoint.check_gray_failure(attempt.caution)?;
        let worth = RetryWorth {
            rank: head.rank,
            spent: head.call.map(|c| c.spent),
        };
        if attempt.repeated {
            endpoint.check_retry_allowance(worth)?;
        }
        // The state of what follows admission is boxed, so that queued requests do not hold it.
        if head.idempotent {
            let trial = attempt.trial;
            let slot = endpoint.admit(&head, trial, &attempt.reply_by).await?;
            let slot = slot.with_retry_allowance(attempt.repeated, worth)?;
            return Box::pin(self.forward(slot, head, attempt.body, permit)).await;
        }
        let key = match head.once_per {
            OncePer::Attempt => None,
            OncePer::Key => Some(head.key.clone().ok_or(MISSING_KEY)?),
        };
        if self.is_streamed(&attempt.body, &head) {
            let slot = endpoint.admit(&head, false, &attempt.reply_by).await?;
            let slot = slot.with_retry_allowance(attempt.repeated, worth)?;
            return Box::pin(self.forward(slot, head, attempt.body, permit)).await;
        }
        let memory = self.deps.memory.holder();
        let body = exchange::read_body(&mut attempt.body, head.deadline, memory).await?;
        let slot = endpoint.admit(&head, false, &attempt.reply_by).await?;
        let slot = slot.with_retry_allowance(attempt.repeated, worth)?;
        match key {
            Some(key) => Box::pin(self.run_with_claim(slot, head, key, body, permit)).await,
            None => Box::pin(self.forward(slot, head, Body::full(body), permit)).await,
        }
    }
}

impl Gate {
    // Tells whether a body is passed on as it arrives. Others are read before their request takes a
    // slot, so that a slow caller holds none; that does not hold for a body larger than one that is
    // kept for further attempts, and not for one that does not fit the free memory.
    fn is_streamed(&self, body: &Body, head: &RequestHead) -> bool {
        let bytes = unbuffered_bytes(body, head.max_body_bytes);
        head.body_mode == BodyMode::Streamed
            && (bytes > self.deps.bounds.buffered_body_bytes
                || bytes > self.deps.memory.free_bytes())
    }
}

/// `quarantine_refusal` refuses a request that is in quarantine for `remaining` because backend
/// servers crashed while it ran.
pub(crate) fn quarantine_refusal(remaining: Duration) -> Refusal {
    Refusal {
        retry_after: Some(remaining),
        ..Refusal::not_run(
            "quarantined",
            "the same request was in flight when backend servers crashed; it is held back",
        )
    }
}

// Returns the bytes that reading the body may add to memory. A body that is in memory already was
// counted where it was read.
fn unbuffered_bytes(body: &Body, max: u64) -> usize {
    if body.is_buffered() {
        return 0;
    }
    let upper = http_body::Body::size_hint(body).upper().unwrap_or(max);
    usize::try_from(upper.min(max)).unwrap_or(usize::MAX)
}

fn reported_load(endpoint: &Endpoint) -> ReportedLoad {
    let mut load = endpoint.reported_load();
    if let Some(state) = endpoint.doubted_state() {
        load.state = state;
        load.state_valid_ms = endpoint.suspicion_left_ms();
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

const MISSING_KEY: Refusal = Refusal::invalid(
    400,
    "no-key",
    "the route is not idempotent; send an Idempotency-Key header with a UUIDv7",
);
