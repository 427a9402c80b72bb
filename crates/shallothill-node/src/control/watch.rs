//! Follows the configuration and the directory of one keeper at a time.

use std::sync::Arc;
use std::time::Duration;

use shallothill_core::ids::{KeeperId, NodeName};
use shallothill_core::time::Millis;
use shallothill_directory::Cursor;
use shallothill_runtime::timer::Timer;
use shallothill_wire::watch::{WatchReply, WatchRequest};
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

use crate::config::{ApplyResult, ConfigStore};
use crate::control::{ConfigFetcher, Keeper, KeeperSwitch, Keepers};
use crate::crashes::CrashTracker;
use crate::gate::Gate;
use crate::view::DirectoryView;

/// `WAIT` is how long a keeper may hold a watch without news.
const WAIT: Duration = Duration::from_secs(2);

/// `TIMEOUT` bounds a watch; a keeper that is silent for longer is cut off or gone.
const TIMEOUT: Duration = Duration::from_secs(3);

/// `FIRST_TIMEOUT` bounds the first watch at a keeper, which brings the whole directory.
const FIRST_TIMEOUT: Duration = Duration::from_secs(8);

/// `FIRST_AGAIN` is the time after which a nearer keeper is tried again.
const FIRST_AGAIN: Duration = Duration::from_secs(30);

/// `ROUND_PAUSE` is the pause after no keeper answered.
const ROUND_PAUSE: Duration = Duration::from_millis(250);

/// `Watcher` follows the nearest keeper that answers.
#[derive(Debug)]
pub struct Watcher {
    /// The node.
    pub node: NodeName,
    /// The keepers.
    pub keepers: Arc<Keepers>,
    /// The configuration.
    pub store: Arc<ConfigStore>,
    /// The directory.
    pub view: Arc<DirectoryView>,
    /// The quarantine.
    pub crashes: Arc<CrashTracker>,
    /// The gate, which acts on changes of the configuration.
    pub gate: Arc<Gate>,
    /// Fetches sections.
    pub fetch: Arc<ConfigFetcher>,
    /// Tells to follow another keeper.
    pub switch: Arc<KeeperSwitch>,
    /// The timer service.
    pub timer: Timer,
}

/// `Position` is how far the node has followed a keeper.
#[derive(Debug, Default)]
struct Position {
    keeper: Option<KeeperId>,
    cursor: Option<Cursor>,
    /// Whether the keeper has sent its whole directory.
    complete: bool,
}

impl Watcher {
    /// `run` watches until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let mut at = 0;
        let mut position = Position::default();
        let mut moved = self.timer.now();
        let mut silent = 0;
        loop {
            let now = self.timer.now();
            if at != 0 && now.saturating_since(moved) >= FIRST_AGAIN {
                at = 0;
                moved = now;
            }
            let all = self.keepers.all();
            let Some(keeper) = all.get(at).or_else(|| all.first()) else {
                // The service ends only with the process.
                let _ = self.timer.after(ROUND_PAUSE).await;
                continue;
            };
            let watched = tokio::select! {
                watched = self.watch(keeper, &mut position) => watched,
                to = self.switch.wait_for_request() => {
                info!("watch: keeper {} is isolated or behind the others", keeper.id());
                at = to;
                moved = now;
                continue;
            }
                () = stop.cancelled() => return,
            };
            keeper.set_reachable(watched);
            if watched {
                silent = 0;
                continue;
            }
            at = (at + 1) % all.len();
            moved = now;
            silent += 1;
            if silent >= all.len() {
                if silent == all.len() {
                    warn!("watch: no keeper answers; the last configuration and directory stay");
                }
                // The service ends only with the process.
                let _ = self.timer.after(ROUND_PAUSE).await;
            }
        }
    }

    async fn watch(&self, keeper: &Arc<Keeper>, position: &mut Position) -> bool {
        let first = position.keeper != Some(keeper.id());
        if first {
            self.switch.set_followed_version(None);
            self.switch.set_isolated_keeper(None);
        }
        let req = WatchRequest {
            node: self.node.clone(),
            config_version: self.store.version(),
            cursor: position.cursor.filter(|_| !first),
            complete: position.complete && !first,
            isolated: self.switch.isolated_keeper().is_some(),
            wait_ms: if first { 0 } else { WAIT.as_millis() as u32 },
        };
        let call = keeper.channel().call(
            if first { FIRST_TIMEOUT } else { TIMEOUT },
            |c, cx| async move { c.watch(cx, req).await },
        );
        let Ok(reply) = call.await else { return false };
        self.switch.set_followed_version(Some(reply.config_version));
        if first {
            info!("watch: following keeper {}", keeper.id());
        }
        let now = self.timer.now();
        if first {
            position.complete = false;
        }
        position.keeper = Some(keeper.id());
        let isolated = reply.isolated.then_some(keeper.id());
        if isolated != self.switch.isolated_keeper() {
            info!(
                "watch: keeper {} is isolated: {}",
                keeper.id(),
                reply.isolated
            );
            self.switch.set_isolated_keeper(isolated);
        }
        self.take(keeper, position, reply, now).await;
        true
    }

    async fn take(
        &self,
        keeper: &Arc<Keeper>,
        position: &mut Position,
        reply: WatchReply,
        now: Millis,
    ) {
        for notice in &reply.crashes {
            self.crashes.record_crash(now, notice);
        }
        if let Some(delta) = reply.directory {
            position.cursor = Some(delta.cursor);
            position.complete |= delta.full;
            self.view.apply(delta);
        }
        if let Some(update) = reply.config {
            let applied = self.fetch.apply_from_keeper(keeper, &update).await;
            if applied == ApplyResult::InForce {
                self.gate.apply_config();
                info!("config: version {} is in force", self.store.version());
            } else if applied == ApplyResult::HashMismatch {
                warn!("config: an update did not lead to the announced hash; fetching all of it");
                self.fetch.all_from_keeper(keeper, &self.node).await;
                self.gate.apply_config();
            }
        }
        self.store.record_version(reply.config_version);
    }
}
