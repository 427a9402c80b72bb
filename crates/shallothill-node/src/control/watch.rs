//! Follows the configuration and the directory of one keeper at a time.

use std::sync::Arc;
use std::time::Duration;

use shallothill_core::ids::{KeeperId, NodeName};
use shallothill_core::time::Millis;
use shallothill_directory::Cursor;
use shallothill_runtime::timer::Timer;
use shallothill_wire::control::KeeperControlClient;
use shallothill_wire::watch::{WatchReply, WatchRequest};
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

use crate::config::{ApplyResult, ConfigStore};
use crate::control::search::Found;
use crate::control::{ConfigFetcher, Keeper, KeeperSwitch, Keepers, search};
use crate::crashes::CrashTracker;
use crate::currency::ConfigCurrency;
use crate::gate::Gate;
use crate::view::DirectoryView;

/// `MAX_HOLD_TIME` is the time for which a keeper may hold a watch open without changes. A
/// connection that went silent is noticed only when the reply is overdue, and the node has to find
/// another keeper within 3 s after the failure.
const MAX_HOLD_TIME: Duration = Duration::from_secs(1);

/// `WATCH_TIMEOUT` is the longest wait for a watch.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1500);

/// `RETRY_TIMEOUT` is the longest wait for the watch that is repeated on a new connection, without
/// a hold time; a keeper that takes longer is cut off or has stopped.
const RETRY_TIMEOUT: Duration = Duration::from_millis(800);

/// `FIRST_WATCH_TIMEOUT` is the longest wait for the first watch of a keeper, which returns the
/// whole directory. The keeper has answered a small call right before.
const FIRST_WATCH_TIMEOUT: Duration = Duration::from_secs(8);

/// `NEAREST_RETRY_AFTER` is the time after which the nearest keeper is tried again.
const NEAREST_RETRY_AFTER: Duration = Duration::from_secs(30);

/// `ROUND_PAUSE` is the pause before each further call once no keeper has answered.
const ROUND_PAUSE: Duration = Duration::from_millis(250);

/// `Watcher` watches the nearest keeper that answers, and applies the configuration, directory and
/// crash notices that it sends.
#[derive(Debug)]
pub struct Watcher {
    /// The name of the node.
    pub node: NodeName,
    /// The keepers to choose from, the nearest first.
    pub keepers: Arc<Keepers>,
    /// The store, whose version is sent with each watch.
    pub store: Arc<ConfigStore>,
    /// The directory that changes are applied to.
    pub view: Arc<DirectoryView>,
    /// The quarantine that crash notices are recorded in.
    pub crashes: Arc<CrashTracker>,
    /// The gate, which applies each new configuration.
    pub gate: Arc<Gate>,
    /// Fetches sections that an update lacks.
    pub fetch: Arc<ConfigFetcher>,
    /// Requests to follow another keeper.
    pub switch: Arc<KeeperSwitch>,
    /// The lease that replies renew, if the settings have a bound.
    pub currency: Option<Arc<ConfigCurrency>>,
    /// The timer for pauses.
    pub timer: Timer,
}

/// `WatchState` is the state of the watch at the followed keeper.
#[derive(Debug, Default)]
struct WatchState {
    keeper: Option<KeeperId>,
    cursor: Option<Cursor>,
    /// Whether the keeper has sent its whole directory.
    complete: bool,
    /// Whether the last watch had no answer and is repeated on a new connection.
    repeating: bool,
}

impl WatchState {
    fn follows(&self, keeper: &Keeper) -> bool {
        self.keeper == Some(keeper.id())
    }

    /// `limits` returns for how long the keeper may hold the next watch, and the longest wait.
    fn limits(&self, keeper: &Keeper) -> (Duration, Duration) {
        match (self.follows(keeper), self.repeating) {
            (false, _) => (Duration::ZERO, FIRST_WATCH_TIMEOUT),
            (true, true) => (Duration::ZERO, RETRY_TIMEOUT),
            (true, false) => (MAX_HOLD_TIME, WATCH_TIMEOUT),
        }
    }
}

impl Watcher {
    /// `run` watches until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let mut index = 0;
        let mut state = WatchState::default();
        let mut switched = self.timer.now();
        let mut warned = false;
        loop {
            let now = self.timer.now();
            if index != 0 && now.saturating_since(switched) >= NEAREST_RETRY_AFTER {
                index = 0;
                switched = now;
            }
            let all = self.keepers.all();
            let Some(keeper) = all.get(index).or_else(|| all.first()) else {
                // The timer fails only when the process ends.
                let _ = self.timer.after(ROUND_PAUSE).await;
                continue;
            };
            let watched = tokio::select! {
                watched = self.watch(keeper, &mut state) => watched,
                requested = self.switch.wait_for_request() => {
                    info!("watch: leaving keeper {}, isolated or behind the others", keeper.id());
                    index = requested;
                    switched = now;
                    continue;
                }
                () = stop.cancelled() => return,
            };
            keeper.set_reachable(watched);
            if watched {
                warned = false;
                state.repeating = false;
                continue;
            }
            let waited = self.timer.now().saturating_since(now);
            info!(
                waited_ms = waited.as_millis() as u64,
                first = !state.follows(keeper),
                "watch: keeper {} does not answer",
                keeper.id()
            );
            // The connection may be silent while the keeper is well.
            state.repeating = state.follows(keeper) && !state.repeating;
            if state.repeating {
                continue;
            }
            switched = self.timer.now();
            index = match search::find_keeper(&self.keepers, keeper.id()).await {
                Found::Connected(found) | Found::Isolated(found) => found,
                Found::Nothing => {
                    if !warned {
                        warn!(
                            "watch: no keeper answers; the last configuration and directory stay \
                             in use"
                        );
                        warned = true;
                    }
                    // The timer fails only when the process ends.
                    let _ = self.timer.after(ROUND_PAUSE).await;
                    (index + 1) % all.len()
                }
            };
        }
    }

    async fn watch(&self, keeper: &Arc<Keeper>, state: &mut WatchState) -> bool {
        let first = !state.follows(keeper);
        if first {
            if search::is_isolated(keeper).await.is_none() {
                return false;
            }
            self.switch.set_followed_version(None);
            self.switch.set_isolated_keeper(None);
        }
        let (hold, timeout) = state.limits(keeper);
        let req = WatchRequest {
            node: self.node.clone(),
            config_version: self.store.version(),
            cursor: state.cursor.filter(|_| !first),
            complete: state.complete && !first,
            isolated: self.switch.isolated_keeper().is_some(),
            wait_ms: hold.as_millis() as u32,
            confirm: self.currency.is_some(),
        };
        let sent = self.currency.as_ref().map(|c| c.start_question());
        let watch = |c: KeeperControlClient, cx| async move { c.watch(cx, req).await };
        let reply = if first {
            keeper.channel().call_while_receiving(timeout, watch).await
        } else {
            keeper.channel().call(timeout, watch).await
        };
        let Ok(reply) = reply else { return false };
        self.switch.set_followed_version(Some(reply.config_version));
        if first {
            info!("watch: following keeper {}", keeper.id());
        }
        let now = self.timer.now();
        if first {
            state.complete = false;
        }
        state.keeper = Some(keeper.id());
        let isolated = reply.isolated.then_some(keeper.id());
        if isolated != self.switch.isolated_keeper() {
            info!(
                "watch: keeper {} is isolated: {}",
                keeper.id(),
                reply.isolated
            );
            self.switch.set_isolated_keeper(isolated);
        }
        let version = reply.config_version;
        let confirmed = reply.confirmed;
        let applied = self.apply(keeper, state, reply, now).await;
        self.store.record_version(version);
        // After the configuration of the same reply, which may be the confirmed version.
        if let (Some(currency), Some(sent), Some(confirmed)) = (&self.currency, sent, confirmed) {
            currency.record(sent, confirmed.version, confirmed.relative_ms);
        }
        applied.is_ok()
    }

    // Fails if the keeper does not send the rest of a configuration.
    async fn apply(
        &self,
        keeper: &Arc<Keeper>,
        state: &mut WatchState,
        reply: WatchReply,
        now: Millis,
    ) -> shallothill_wire::Result<()> {
        for notice in &reply.crashes {
            self.crashes.record_crash(now, notice);
        }
        if let Some(delta) = reply.directory {
            state.cursor = Some(delta.cursor);
            state.complete |= delta.full;
            self.view.apply(delta);
        }
        if let Some(update) = reply.config {
            let applied = self.fetch.apply_from_keeper(keeper, &update).await?;
            if applied == ApplyResult::InForce {
                self.gate.apply_config();
                info!("config: version {} is in force", self.store.version());
            } else if applied == ApplyResult::HashMismatch {
                warn!("config: the hash of an update does not match; fetching what differs");
                self.fetch.fetch_from_keeper(keeper, &self.node).await?;
                self.gate.apply_config();
            }
        }
        Ok(())
    }
}
