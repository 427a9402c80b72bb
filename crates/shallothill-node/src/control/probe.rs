//! Notices that the followed keeper is behind the others.

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

/// `PROBE_EVERY` is the time between two rounds. With the time that the followed keeper is given
/// and the transfer it stays under the 5 s in which a version must be in force.
const PROBE_EVERY: Duration = Duration::from_millis(1500);

/// `PROBED` is the number of keepers asked in a round; a majority has every accepted version.
const PROBED: usize = 3;

/// `GRACE` is the time in which the followed keeper usually brings a version itself.
const GRACE: Duration = Duration::from_millis(700);

/// `TIMEOUT` bounds the wait for one keeper.
const TIMEOUT: Duration = Duration::from_millis(700);

/// `KeeperSwitch` tells the watch to follow another keeper.
#[derive(Debug)]
pub struct KeeperSwitch {
    to: AtomicUsize,
    told: AtomicU64,
    isolated: Mutex<Option<KeeperId>>,
    asked: Notify,
}

impl Default for KeeperSwitch {
    fn default() -> Self {
        Self {
            to: AtomicUsize::new(0),
            told: AtomicU64::new(u64::MAX),
            isolated: Mutex::new(None),
            asked: Notify::new(),
        }
    }
}

impl KeeperSwitch {
    /// `told` records the version that the followed keeper has, or `None` until it answers. A
    /// keeper that has the newest version is not left while its sections are still on the way.
    pub fn set_followed_version(&self, version: Option<ConfigVersion>) {
        let version = version.map_or(u64::MAX, |v| v.0);
        self.told.store(version, Ordering::Relaxed);
    }

    /// `set_isolated_keeper` records the followed keeper if it says that it is isolated.
    pub fn set_isolated_keeper(&self, keeper: Option<KeeperId>) {
        *self.isolated.lock().unwrap_or_else(PoisonError::into_inner) = keeper;
    }

    /// `isolated` returns the followed keeper if it says that it is isolated.
    pub fn isolated_keeper(&self) -> Option<KeeperId> {
        *self.isolated.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// `follow` asks the watch to follow the keeper at `place` in the list.
    pub fn request(&self, place: usize) {
        self.to.store(place, Ordering::Relaxed);
        self.asked.notify_one();
    }

    fn is_behind(&self, version: ConfigVersion) -> bool {
        version.0 > self.told.load(Ordering::Relaxed)
    }

    /// `wait` waits until another keeper is to be followed, and returns its place in the list.
    pub async fn wait_for_request(&self) -> usize {
        self.asked.notified().await;
        self.to.load(Ordering::Relaxed)
    }
}

/// `VersionProbe` asks other keepers for their version. A keeper that is cut off from the others
/// gives no sign of it: it answers watches and has no news.
#[derive(Debug)]
pub struct VersionProbe {
    /// The keepers.
    pub keepers: Arc<Keepers>,
    /// The configuration.
    pub store: Arc<ConfigStore>,
    /// Told which keeper has more.
    pub switch: Arc<KeeperSwitch>,
    /// The timer service.
    pub timer: Timer,
}

impl VersionProbe {
    /// `run` probes until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let mut every = self.timer.every(PROBE_EVERY);
        let mut first = 1;
        loop {
            tokio::select! {
                _ = every.recv() => {}
                () = stop.cancelled() => return,
            }
            let all = self.keepers.all();
            let places = (0..PROBED.min(all.len())).map(|i| (first + i) % all.len());
            let found = self.ask(places).await;
            first = (first + PROBED) % all.len().max(1);
            let Some((version, place)) = found.filter(|(v, _)| *v > self.store.version()) else {
                continue;
            };
            self.store.record_version(version);
            // The service ends only with the process.
            let _ = self.timer.after(GRACE).await;
            if version > self.store.version() && self.switch.is_behind(version) {
                self.switch.request(place);
            }
        }
    }

    async fn ask(&self, places: impl Iterator<Item = usize>) -> Option<(ConfigVersion, usize)> {
        let asked: FuturesUnordered<_> = places
            .filter_map(|i| Some((i, self.keepers.all().get(i).cloned()?)))
            .map(|(i, keeper)| async move { Some((version_of(&keeper, TIMEOUT).await?, i)) })
            .collect();
        let answers: Vec<Option<(ConfigVersion, usize)>> = asked.collect().await;
        answers.into_iter().flatten().max()
    }
}

/// `version_of` asks a keeper for its configuration version.
pub async fn version_of(keeper: &Keeper, timeout: Duration) -> Option<ConfigVersion> {
    let req = SectionsRequest {
        version: ConfigVersion(0),
        ids: Vec::new(),
    };
    let call = keeper
        .channel()
        .call(timeout, |c, cx| async move { c.sections(cx, req).await });
    call.await.ok().map(|reply| reply.config_version)
}
