//! The entry role: takes callers' requests and sends them to gates.

mod attempts;
mod handler;
mod in_flight;
mod prepare;
mod send;

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError, RwLock};

use hyper::header::HeaderValue;
use shallothill_core::ids::ServiceName;
use shallothill_core::version::ConfigVersion;
use shallothill_policy::limits::CallerLimits;
use shallothill_policy::retry::RetryBudget;
use shallothill_runtime::timer::Timer;

use crate::buffers::BufferBudget;
use crate::config::ConfigStore;
use crate::counters::Counters;
use crate::crashes::CrashTracker;
use crate::gate::Gate;
use crate::interface::HttpInterface;
use crate::peer::PeerLinks;
use crate::settings::Bounds;
use crate::view::DirectoryView;

pub use in_flight::InFlight;
pub(crate) use prepare::NOT_READY;

/// `EntryDependencies` is what an entry is built from.
#[derive(Debug)]
pub struct EntryDependencies {
    /// The node, to recognise its own gate.
    pub node: shallothill_core::ids::NodeName,
    /// How callers speak.
    pub interface: Arc<HttpInterface>,
    /// The service of this host, as backend servers are told it.
    pub origin_service: Option<HeaderValue>,
    /// Limits.
    pub bounds: Bounds,
    /// The timer service.
    pub timer: Timer,
    /// The configuration.
    pub store: Arc<ConfigStore>,
    /// The directory.
    pub view: Arc<DirectoryView>,
    /// The connections to peers.
    pub links: Arc<PeerLinks>,
    /// The node's own gate.
    pub gate: Arc<Gate>,
    /// The quarantine.
    pub crashes: Arc<CrashTracker>,
    /// The limits of callers.
    pub limits: CallerLimits,
    /// The bound on request bodies in memory.
    pub buffers: BufferBudget,
    /// Counters for metrics.
    pub counters: Arc<Counters>,
}

/// `Entry` serves callers.
#[derive(Debug)]
pub struct Entry {
    deps: EntryDependencies,
    budgets: RwLock<HashMap<ServiceName, Arc<RetryBudget>>>,
    serving: AtomicBool,
    leaving: AtomicBool,
}

impl Entry {
    /// `new` builds an entry that refuses requests until [`Self::start_serving`].
    pub fn new(deps: EntryDependencies) -> Self {
        Self {
            deps,
            budgets: RwLock::default(),
            serving: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
        }
    }

    /// `start_serving` starts serving: the configuration is at or above the highest known version.
    pub fn start_serving(&self) {
        self.serving.store(true, Ordering::Relaxed);
    }

    /// `start_draining` lets callers look for another node; requests that come all the same are
    /// served.
    pub fn start_draining(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// `ready` tells whether callers may be sent here.
    pub fn ready(&self) -> bool {
        let configured = self.deps.store.version() > ConfigVersion(0);
        self.serving() && configured && !self.leaving()
    }

    /// `leaving` tells whether the node is being stopped.
    pub fn leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// `serving` tells whether requests are served.
    pub fn serving(&self) -> bool {
        self.serving.load(Ordering::Relaxed)
    }

    /// `limited_callers` returns the number of callers whose limits are followed now.
    pub fn limited_callers(&self) -> usize {
        self.deps.limits.len()
    }

    /// `buffered` returns the bytes of request bodies in memory.
    pub fn buffered_bytes(&self) -> usize {
        self.deps.buffers.used_bytes()
    }

    fn budget(&self, service: &ServiceName) -> Arc<RetryBudget> {
        let known = self.budgets.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(budget) = known.get(service) {
            return Arc::clone(budget);
        }
        drop(known);
        let mut budgets = self.budgets.write().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(budgets.entry(service.clone()).or_default())
    }
}
