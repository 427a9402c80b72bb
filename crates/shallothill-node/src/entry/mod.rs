//! The entry role: takes callers' requests and sends them to gates.

mod attempts;
mod backpressure;
mod caller;
mod calls;
mod credit;
mod ended_attempt;
mod fingerprint;
mod handler;
mod in_flight;
mod open_requests;
mod prepare;
mod priority;
mod run_state;
mod send;
mod stop;

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};

use hyper::header::HeaderValue;
use shallothill_core::ids::{RouteName, ServiceName};
use shallothill_core::version::ConfigVersion;
use shallothill_policy::limits::CallerLimits;
use shallothill_policy::retry::{RetryBudget, UsualLatency};
use shallothill_runtime::memory::MemoryAccount;
use shallothill_runtime::timer::Timer;

use crate::config::ConfigStore;
use crate::counters::Counters;
use crate::crashes::CrashTracker;
use crate::currency::ConfigCurrency;
use crate::entry::backpressure::Backpressure;
use crate::gate::Gate;
use crate::interface::HttpInterface;
use crate::peer::PeerLinks;
use crate::reply_by::ReplyBy;
use crate::settings::Bounds;
use crate::view::DirectoryView;

pub use credit::CreditPool;
pub use in_flight::InFlight;
pub use open_requests::OpenRequests;
pub(crate) use prepare::NOT_READY;

/// `EntryDependencies` contains the components and settings that an entry is built from.
#[derive(Debug)]
pub struct EntryDependencies {
    /// The name of the node; attempts to its endpoints go to `gate` directly.
    pub node: shallothill_core::ids::NodeName,
    /// The HTTP headers and rules of callers and backend servers.
    pub interface: Arc<HttpInterface>,
    /// The service that runs on this host, sent to backend servers as the origin of requests.
    pub origin_service: Option<HeaderValue>,
    /// Limits on header and body sizes.
    pub bounds: Bounds,
    /// The clock for limits, budgets and picks.
    pub timer: Timer,
    /// The configuration in force.
    pub store: Arc<ConfigStore>,
    /// The lease that requests with keys need, if the settings have a bound.
    pub currency: Option<Arc<ConfigCurrency>>,
    /// The endpoints of all nodes and their pick tables.
    pub view: Arc<DirectoryView>,
    /// The connections to the gates of other nodes.
    pub links: Arc<PeerLinks>,
    /// The gate of this node.
    pub gate: Arc<Gate>,
    /// The crashes of request fingerprints and their quarantine.
    pub crashes: Arc<CrashTracker>,
    /// The request limits of callers.
    pub limits: CallerLimits,
    /// The tokens of callers with quotas.
    pub credit: Arc<CreditPool>,
    /// The account of all bytes that are held for callers, backend servers and other nodes.
    pub memory: MemoryAccount,
    /// The counters of responses.
    pub counters: Arc<Counters>,
}

/// `Entry` checks callers' requests, picks endpoints for them and retries failed attempts.
#[derive(Debug)]
pub struct Entry {
    deps: EntryDependencies,
    budgets: RwLock<HashMap<ServiceName, Arc<RetryBudget>>>,
    serving: AtomicBool,
    open: OpenRequests,
    /// Set when the node begins to stop.
    reply_by: ReplyBy,
    /// The usual latency of the routes that serve calls.
    latencies: Mutex<HashMap<RouteName, UsualLatency>>,
    backpressure: Backpressure,
}

impl Entry {
    /// `new` builds an entry that refuses requests until [`Self::start_serving`].
    pub fn new(deps: EntryDependencies) -> Self {
        Self {
            deps,
            budgets: RwLock::default(),
            serving: AtomicBool::new(false),
            open: OpenRequests::default(),
            reply_by: ReplyBy::default(),
            latencies: Mutex::default(),
            backpressure: Backpressure::default(),
        }
    }

    /// `dependencies` returns the components that the entry was built from.
    pub(crate) fn dependencies(&self) -> &EntryDependencies {
        &self.deps
    }

    /// `start_serving` starts serving; call it once the configuration in force is at or above the
    /// highest known version.
    pub fn start_serving(&self) {
        self.serving.store(true, Ordering::Relaxed);
    }

    /// `ready` tells whether callers should use this node: it serves, has a configuration and does
    /// not drain.
    pub fn ready(&self) -> bool {
        let configured = self.deps.store.version() > ConfigVersion(0);
        self.serving() && configured && !self.draining()
    }

    /// `serving` tells whether requests are served; it stays true while the node drains.
    pub fn serving(&self) -> bool {
        self.serving.load(Ordering::Relaxed)
    }

    /// `open_requests` counts the requests of callers that are not answered yet.
    pub fn open_requests(&self) -> &OpenRequests {
        &self.open
    }

    /// `limited_callers` returns the number of callers with state for their limits.
    pub fn limited_callers(&self) -> usize {
        self.deps.limits.len()
    }

    /// `memory` returns the account of all bytes that are held for clients.
    pub fn memory(&self) -> &MemoryAccount {
        &self.deps.memory
    }

    /// `limited_routes` returns the number of routes of which fewer requests are admitted.
    pub fn limited_routes(&self) -> usize {
        self.backpressure.limited_routes(self.deps.timer.now())
    }

    fn retry_budget(&self, service: &ServiceName) -> Arc<RetryBudget> {
        let known = self.budgets.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(budget) = known.get(service) {
            return Arc::clone(budget);
        }
        drop(known);
        let mut budgets = self.budgets.write().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(budgets.entry(service.clone()).or_default())
    }
}
