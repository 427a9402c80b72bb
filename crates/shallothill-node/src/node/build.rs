//! Builds the components of a node.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use cadence::StatsdClient;
use hyper::header::HeaderValue;
use shallothill_core::ids::ServiceName;
use shallothill_core::incarnation::Incarnation;
use shallothill_policy::limits::{CallerLimits, LimitOptions};
use shallothill_policy::quarantine::QuarantineOptions;
use shallothill_runtime::memory::MemoryAccount;
use shallothill_runtime::timer::Timer;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::config::ConfigStore;
use crate::control::{CreditClient, Keepers};
use crate::counters::Counters;
use crate::crashes::CrashTracker;
use crate::currency::ConfigCurrency;
use crate::entry::{CreditPool, Entry, EntryDependencies};
use crate::gate::{Gate, GateDependencies, LedgerClient};
use crate::interface::HttpInterface;
use crate::node::{ListenAddresses, Node};
use crate::peer::{PeerLinks, ProcessId, RunningAttempts};
use crate::settings::Settings;
use crate::view::DirectoryView;

impl Node {
    /// `build` builds all components without starting them.
    pub(super) fn build(
        settings: Settings,
        interface: HttpInterface,
        addresses: ListenAddresses,
        metrics: StatsdClient,
        stop: CancellationToken,
    ) -> Self {
        let timer = Timer::start();
        let changed = Arc::new(Notify::new());
        let background = TaskTracker::new();
        let zone = settings.zone();
        let bounds = settings.bounds.clone();
        let store = Arc::new(ConfigStore::default());
        let keepers = Arc::new(if settings.seeds.is_empty() {
            Keepers::new(&zone, &settings.keepers)
        } else {
            Keepers::from_seeds(&zone, &settings.seeds)
        });
        let view = Arc::new(DirectoryView::new(settings.node.clone(), zone));
        let process = ProcessId::random();
        let links = Arc::new(PeerLinks::new(bounds.connect_timeout(), process));
        let attempts = Arc::new(RunningAttempts::new(process));
        let options = QuarantineOptions::default();
        let crashes = Arc::new(CrashTracker::new(options, Arc::clone(&changed)));
        let counters = Arc::new(Counters::default());
        let memory = MemoryAccount::new(bounds.memory_options());
        let incarnation = incarnation_now();
        let ledger = Arc::new(LedgerClient::new(
            settings.node.clone(),
            settings.regions.clone(),
            Arc::clone(&keepers),
            bounds.claim_timeout(),
            timer.clone(),
            background.clone(),
        ));
        let interface = Arc::new(interface);
        let gate = Arc::new(Gate::new(GateDependencies {
            interface: Arc::clone(&interface),
            node: settings.node.clone(),
            region: settings.region.clone(),
            incarnation,
            bounds,
            timer: timer.clone(),
            store: Arc::clone(&store),
            keepers: Arc::clone(&keepers),
            crashes: Arc::clone(&crashes),
            ledger,
            changed: Arc::clone(&changed),
            memory,
            counters: Arc::clone(&counters),
            tasks: background.clone(),
        }));
        let origin = settings.host_service.as_ref();
        let entry = Arc::new(new_entry(&gate, &view, &links, &counters, origin));
        Self {
            settings,
            incarnation,
            addresses,
            timer,
            store,
            view,
            keepers,
            links,
            attempts,
            crashes,
            gate,
            entry,
            counters,
            changed,
            metrics,
            stop,
            close_callers: CancellationToken::new(),
            leave: CancellationToken::new(),
            end_tasks: CancellationToken::new(),
            connections: TaskTracker::new(),
            background,
        }
    }
    pub(super) fn credit_client(&self) -> CreditClient {
        CreditClient {
            pool: Arc::clone(self.entry.credit()),
            keepers: Arc::clone(&self.keepers),
            timer: self.timer.clone(),
        }
    }
}

fn new_entry(
    gate: &Arc<Gate>,
    view: &Arc<DirectoryView>,
    links: &Arc<PeerLinks>,
    counters: &Arc<Counters>,
    origin: Option<&ServiceName>,
) -> Entry {
    let deps = gate.dependencies();
    let currency = deps.bounds.max_config_age().map(|max_age| {
        let (store, counters) = (Arc::clone(&deps.store), Arc::clone(counters));
        Arc::new(ConfigCurrency::new(
            max_age,
            store,
            deps.timer.clone(),
            counters,
        ))
    });
    Entry::new(EntryDependencies {
        node: deps.node.clone(),
        interface: Arc::clone(&deps.interface),
        origin_service: origin.and_then(|s| HeaderValue::from_str(s.as_str()).ok()),
        memory: deps.memory.clone(),
        bounds: deps.bounds.clone(),
        timer: deps.timer.clone(),
        store: Arc::clone(&deps.store),
        currency,
        view: Arc::clone(view),
        links: Arc::clone(links),
        gate: Arc::clone(gate),
        crashes: Arc::clone(&deps.crashes),
        limits: CallerLimits::new(&LimitOptions::default()),
        credit: Arc::new(CreditPool::new(deps.timer.clone(), Arc::clone(counters))),
        counters: Arc::clone(counters),
    })
}

fn incarnation_now() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation(since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX)))
}
