//! The node's lease on the currency of the configuration.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};
use shallothill_core::time::Millis;
use shallothill_core::version::ConfigVersion;
use shallothill_policy::currency::{Confirmation, CurrencyLease, LeaseState};
use shallothill_runtime::timer::Timer;
use tracing::{info, warn};

use crate::config::ConfigStore;
use crate::counters::Counters;

/// `ConfigCurrency` admits requests with keys while keepers have confirmed recently that no newer
/// version was acknowledged.
#[derive(Debug)]
pub struct ConfigCurrency {
    lease: Mutex<CurrencyLease>,
    store: Arc<ConfigStore>,
    timer: Timer,
    counters: Arc<Counters>,
    /// Whether the last call of [`Self::observe`] found the lease.
    held: AtomicBool,
}

impl ConfigCurrency {
    /// `new` starts without a lease; `max_age` is the bound of the settings.
    pub fn new(
        max_age: Duration,
        store: Arc<ConfigStore>,
        timer: Timer,
        counters: Arc<Counters>,
    ) -> Self {
        Self {
            lease: Mutex::new(CurrencyLease::new(max_age)),
            store,
            timer,
            counters,
            held: AtomicBool::new(false),
        }
    }

    /// `admits` tells whether a request that uses the snapshot `version` may run now. The time is
    /// read here, so that it includes a suspension right before the check.
    pub fn admits(&self, version: ConfigVersion) -> bool {
        let lease = self.lease();
        let admitted = matches!(lease.state(self.timer.now(), version), LeaseState::Held(_));
        if !admitted {
            self.counters.count_stale_refusal();
        }
        admitted
    }

    /// `start_question` returns the time for [`Self::record`]; call it before a question is sent.
    pub fn start_question(&self) -> Millis {
        let now = self.timer.now();
        self.lease().observe_in_force(now, self.store.version());
        now
    }

    /// `record` takes an answer into account: `version` was the newest one at `relative_ms` after
    /// the question, which was sent at `sent`. A version above the one in force is fetched. Returns
    /// whether the answer counts.
    pub fn record(&self, sent: Millis, version: ConfigVersion, relative_ms: i64) -> bool {
        self.store.record_version(version);
        let Some(confirmation) = Confirmation::from_reply(sent, version, relative_ms) else {
            return false;
        };
        let now = self.timer.now();
        let mut lease = self.lease();
        lease.observe_in_force(now, self.store.version());
        lease.record(confirmation)
    }

    /// `needs_question` tells whether more keepers than the followed one should be asked.
    pub fn needs_question(&self) -> bool {
        self.lease().needs_question(self.timer.now())
    }

    /// `observe` logs and counts the loss and the return of the lease; call it regularly.
    pub fn observe(&self) {
        let version = self.store.version();
        let state = self.state(version);
        let held = matches!(state, LeaseState::Held(_));
        if self.held.swap(held, Ordering::Relaxed) == held {
            return;
        }
        if held {
            info!("currency: version {version} is confirmed; requests with keys are served");
            return;
        }
        self.counters.count_lost_lease();
        match state {
            LeaseState::Behind(newest) => warn!(
                "currency: version {newest} exists and {version} is in force; requests with keys \
                 are refused until it arrives"
            ),
            _ => warn!(
                "currency: no keeper has confirmed version {version} in time; requests with keys \
                 are refused until one does"
            ),
        }
    }

    /// `dump` returns the state for the state dump.
    pub fn dump(&self) -> Value {
        let now = self.timer.now();
        match self.state(self.store.version()) {
            LeaseState::Held(end) => {
                json!({"state": "held", "left_ms": end.saturating_since(now).as_millis() as u64})
            }
            LeaseState::Behind(newest) => json!({"state": "behind", "confirmed": newest}),
            LeaseState::Expired => json!({"state": "expired"}),
        }
    }

    fn state(&self, version: ConfigVersion) -> LeaseState {
        let lease = self.lease();
        lease.state(self.timer.now(), version)
    }

    fn lease(&self) -> MutexGuard<'_, CurrencyLease> {
        self.lease.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
