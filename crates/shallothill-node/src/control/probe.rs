//! Detects that the followed keeper has an older configuration than the others.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures::stream::{FuturesUnordered, StreamExt};
use shallothill_core::ids::KeeperId;
use shallothill_core::version::ConfigVersion;
use shallothill_runtime::timer::Timer;
use shallothill_wire::watch::SectionsRequest;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::config::ConfigStore;
use crate::control::{Keeper, Keepers};

/// `PROBE_PERIOD` is the time between probes. Together with `DELIVERY_GRACE` and the transfer it
/// stays below the 5 s within which a version must be in force.
const PROBE_PERIOD: Duration = Duration::from_millis(1500);

/// `KEEPERS_PER_PROBE` is the number of keepers asked in one round. A majority of the keepers has
/// every accepted version.
const KEEPERS_PER_PROBE: usize = 3;

/// `DELIVERY_GRACE` is the time within which the followed keeper usually delivers a version itself.
const DELIVERY_GRACE: Duration = Duration::from_millis(700);

/// `CALL_TIMEOUT` is the longest wait for one keeper.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// `KeeperSwitch` holds the state of the followed keeper, set by the watch, and the request to
/// follow another one, which the watch waits for.
#[derive(Debug)]
pub struct KeeperSwitch {
    target_index: AtomicUsize,
    /// The configuration version of the followed keeper; `u64::MAX` until it has answered.
    followed_version: AtomicU64,
    isolated: Mutex<Option<KeeperId>>,
    requested: Notify,
}

impl Default for KeeperSwitch {
    fn default() -> Self {
        Self {
            target_index: AtomicUsize::new(0),
            followed_version: AtomicU64::new(u64::MAX),
            isolated: Mutex::new(None),
            requested: Notify::new(),
        }
    }
}

impl KeeperSwitch {
    /// `set_followed_version` records the version that the followed keeper has, or `None` until it
    /// has answered. A keeper that has the newest version stays followed while its sections are
    /// still in transfer.
    pub fn set_followed_version(&self, version: Option<ConfigVersion>) {
        let version = version.map_or(u64::MAX, |v| v.0);
        self.followed_version.store(version, Ordering::Relaxed);
    }

    /// `set_isolated_keeper` records the followed keeper while it reports that it is isolated, and
    /// `None` otherwise.
    pub fn set_isolated_keeper(&self, keeper: Option<KeeperId>) {
        *self.isolated.lock().unwrap_or_else(PoisonError::into_inner) = keeper;
    }

    /// `isolated_keeper` returns the followed keeper if it reports that it is isolated.
    pub fn isolated_keeper(&self) -> Option<KeeperId> {
        *self.isolated.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// `request` asks the watch to follow the keeper at `index` in the list; a later request
    /// replaces an earlier one.
    pub fn request(&self, index: usize) {
        self.target_index.store(index, Ordering::Relaxed);
        self.requested.notify_one();
    }

    fn followed_is_behind(&self, version: ConfigVersion) -> bool {
        version.0 > self.followed_version.load(Ordering::Relaxed)
    }

    /// `wait_for_request` waits for a request to follow another keeper and returns its index in the
    /// list.
    pub async fn wait_for_request(&self) -> usize {
        self.requested.notified().await;
        self.target_index.load(Ordering::Relaxed)
    }
}

/// `VersionProbe` asks other keepers for their configuration version, because a keeper that is cut
/// off from the others still answers watches, only without changes.
#[derive(Debug)]
pub struct VersionProbe {
    /// The keepers that are asked in turn.
    pub keepers: Arc<Keepers>,
    /// The store, which learns of higher versions.
    pub store: Arc<ConfigStore>,
    /// Takes the request to follow a keeper with a higher version.
    pub switch: Arc<KeeperSwitch>,
    /// The timer for the probes.
    pub timer: Timer,
}

impl VersionProbe {
    /// `run` probes until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let mut every = self.timer.every(PROBE_PERIOD);
        let mut first = 1;
        loop {
            tokio::select! {
                _ = every.recv() => {}
                () = stop.cancelled() => return,
            }
            let all = self.keepers.all();
            let indices = (0..KEEPERS_PER_PROBE.min(all.len())).map(|i| (first + i) % all.len());
            let found = self.highest_version(indices).await;
            first = (first + KEEPERS_PER_PROBE) % all.len().max(1);
            let Some((version, index)) = found.filter(|(v, _)| *v > self.store.version()) else {
                continue;
            };
            self.store.record_version(version);
            // The timer fails only when the process ends.
            let _ = self.timer.after(DELIVERY_GRACE).await;
            if version > self.store.version() && self.switch.followed_is_behind(version) {
                self.switch.request(index);
            }
        }
    }

    async fn highest_version(
        &self,
        indices: impl Iterator<Item = usize>,
    ) -> Option<(ConfigVersion, usize)> {
        let calls: FuturesUnordered<_> = indices
            .filter_map(|i| Some((i, self.keepers.all().get(i).cloned()?)))
            .map(
                |(i, keeper)| async move { Some((fetch_version(&keeper, CALL_TIMEOUT).await?, i)) },
            )
            .collect();
        let answers: Vec<Option<(ConfigVersion, usize)>> = calls.collect().await;
        answers.into_iter().flatten().max()
    }
}

/// `fetch_version` asks a keeper for its configuration version; `None` if it does not answer in
/// time.
pub async fn fetch_version(keeper: &Keeper, timeout: Duration) -> Option<ConfigVersion> {
    let req = SectionsRequest {
        version: ConfigVersion(0),
        ids: Vec::new(),
    };
    let call = keeper
        .channel()
        .call(timeout, |c, cx| async move { c.sections(cx, req).await });
    call.await.ok().map(|reply| reply.config_version)
}
