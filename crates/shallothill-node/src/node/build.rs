//! Puts the parts of a node together.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use cadence::StatsdClient;
use shallothill_core::incarnation::Incarnation;
use shallothill_policy::limits::{CallerLimits, LimitOptions};
use shallothill_policy::quarantine::QuarantineOptions;
use shallothill_runtime::timer::Timer;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::buffers::Buffers;
use crate::config::Store;
use crate::control::Keepers;
use crate::counters::Counters;
use crate::crashes::Crashes;
use crate::entry::{Entry, EntryParts};
use crate::gate::{Gate, GateParts, Ledger};
use crate::node::{Addresses, Node};
use crate::peer::Links;
use crate::settings::Settings;
use crate::view::View;

impl Node {
    /// `build` puts the parts together without starting them.
    pub(super) fn build(
        settings: Settings,
        addresses: Addresses,
        metrics: StatsdClient,
        stop: CancellationToken,
    ) -> Self {
        let timer = Timer::start();
        let changed = Arc::new(Notify::new());
        let background = TaskTracker::new();
        let zone = settings.zone();
        let bounds = settings.bounds.clone();
        let store = Arc::new(Store::default());
        let keepers = Arc::new(Keepers::new(&zone, &settings.keepers));
        let view = Arc::new(View::new(settings.node.clone(), zone));
        let links = Arc::new(Links::new(bounds.connect_timeout()));
        let options = QuarantineOptions::default();
        let crashes = Arc::new(Crashes::new(options, Arc::clone(&changed)));
        let counters = Arc::new(Counters::default());
        let buffers = Buffers::new(bounds.buffered_total_bytes);
        let incarnation = incarnation_now();
        let ledger = Arc::new(Ledger::new(
            settings.node.clone(),
            settings.regions.clone(),
            Arc::clone(&keepers),
            bounds.claim_timeout(),
            timer.clone(),
            background.clone(),
        ));
        let gate = Arc::new(Gate::new(GateParts {
            node: settings.node.clone(),
            region: settings.region.clone(),
            incarnation,
            bounds: bounds.clone(),
            timer: timer.clone(),
            store: Arc::clone(&store),
            keepers: Arc::clone(&keepers),
            crashes: Arc::clone(&crashes),
            ledger,
            changed: Arc::clone(&changed),
            buffers: buffers.clone(),
            tasks: background.clone(),
        }));
        let entry = Arc::new(Entry::new(EntryParts {
            node: settings.node.clone(),
            buffers,
            bounds,
            timer: timer.clone(),
            store: Arc::clone(&store),
            view: Arc::clone(&view),
            links: Arc::clone(&links),
            gate: Arc::clone(&gate),
            crashes: Arc::clone(&crashes),
            limits: CallerLimits::new(&LimitOptions::default()),
            counters: Arc::clone(&counters),
        }));
        Self {
            settings,
            incarnation,
            addresses,
            timer,
            store,
            view,
            keepers,
            links,
            crashes,
            gate,
            entry,
            counters,
            changed,
            metrics,
            stop,
            end: CancellationToken::new(),
            connections: TaskTracker::new(),
            background,
        }
    }
}

fn incarnation_now() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation(since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX)))
}
