//! Finds the keepers through seeds and keeps their list current.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use shallothill_runtime::timer::Timer;
use shallothill_wire::channel::RpcChannel;
use shallothill_wire::control::KeeperControlClient;
use shallothill_wire::keeper_info::KeeperInfo;
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

use crate::control::Keepers;

/// `SEARCH_PERIOD` is the pause between calls to seeds while no keeper answers.
const SEARCH_PERIOD: Duration = Duration::from_millis(300);

/// `REFRESH_PERIOD` is the usual time between requests for the list of keepers.
const REFRESH_PERIOD: Duration = Duration::from_secs(5);

/// `EAGER_REFRESH_PERIOD` is the time between requests while the answering keeper is isolated, or
/// while no keeper of the own region is known, since traffic from another region is billed. Both
/// are usual for a moment after all hosts have started.
const EAGER_REFRESH_PERIOD: Duration = Duration::from_millis(500);

/// `MAX_EAGER_REFRESHES` is the largest number of requests in a row at `EAGER_REFRESH_PERIOD`, for
/// regions without a keeper and sites that are cut off.
const MAX_EAGER_REFRESHES: u32 = 20;

/// `REACHABLE_CHECK_PERIOD` is the time between checks whether a keeper is still reachable.
const REACHABLE_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// `CALL_TIMEOUT` is the longest wait for one call to a keeper.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// `Discovery` keeps the list of keepers current.
#[derive(Debug)]
pub struct Discovery {
    /// The list of keepers that is updated.
    pub keepers: Arc<Keepers>,
    /// The timer for pauses.
    pub timer: Timer,
}

impl Discovery {
    /// `run` searches for keepers and refreshes their list until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        tokio::select! {
            () = self.keep_current() => {}
            () = stop.cancelled() => {}
        }
    }

    async fn keep_current(&self) {
        let mut warned = false;
        let mut eager_refreshes = 0;
        loop {
            let Some(list) = self.fetch_list().await else {
                if !warned {
                    warn!("discovery: no keeper answers at the seeds; still searching");
                }
                warned = true;
                self.pause(SEARCH_PERIOD).await;
                continue;
            };
            warned = false;
            let isolated = list.isolated;
            self.apply(list);
            if isolated {
                self.refresh_from_another().await;
            }
            let pause = if !isolated && self.keepers.has_same_region_keeper() {
                eager_refreshes = 0;
                REFRESH_PERIOD
            } else if eager_refreshes < MAX_EAGER_REFRESHES {
                eager_refreshes += 1;
                EAGER_REFRESH_PERIOD
            } else {
                REFRESH_PERIOD
            };
            self.pause(pause).await;
        }
    }

    // The list of an isolated keeper only adds keepers, because one that was just started knows no
    // other keeper.
    fn apply(&self, list: KeeperList) {
        let changed = if list.isolated {
            self.keepers.add(list.infos)
        } else {
            self.keepers.replace(list.infos)
        };
        if changed {
            let number = self.keepers.all().len();
            info!(
                isolated = list.isolated,
                "discovery: {number} keepers are known"
            );
        }
    }

    async fn fetch_list(&self) -> Option<KeeperList> {
        let all = self.keepers.all();
        match all.iter().find(|k| k.is_reachable()) {
            Some(keeper) => {
                let list = request_list(keeper.channel()).await;
                keeper.set_reachable(list.is_some());
                list
            }
            None => self.ask_random_seed().await,
        }
    }

    // Asks a random keeper or seed. The keepers that an isolated one lists may be cut off together
    // with it, while a seed may still be connected.
    async fn refresh_from_another(&self) {
        let all = self.keepers.all();
        let known = all.iter().map(|k| k.control_address());
        let seeds = self.keepers.seeds();
        let addresses: Vec<SocketAddr> = known.chain(seeds.iter().copied()).collect();
        let Some(address) = addresses.choose(&mut rand::rng()).copied() else {
            return;
        };
        if let Some(list) = request_list(&RpcChannel::new(address)).await {
            self.apply(list);
        }
    }

    // Waits for `pause`; a longer one ends early when no keeper is reachable any more.
    async fn pause(&self, pause: Duration) {
        let until = self.timer.now() + pause;
        while self.timer.now() < until {
            let left = until.saturating_since(self.timer.now());
            // The timer fails only when the process ends.
            let _ = self.timer.after(left.min(REACHABLE_CHECK_PERIOD)).await;
            let all = self.keepers.all();
            if pause > REACHABLE_CHECK_PERIOD && !all.iter().any(|k| k.is_reachable()) {
                return;
            }
        }
    }

    // Asks one random seed in each round, because most seeds are in other regions and usually each
    // of them answers.
    async fn ask_random_seed(&self) -> Option<KeeperList> {
        let seeds = self.keepers.seeds();
        let seed = seeds.choose(&mut rand::rng()).copied()?;
        request_list(&RpcChannel::new(seed)).await
    }
}

/// `KeeperList` is the list of keepers that one keeper returned.
struct KeeperList {
    infos: Vec<KeeperInfo>,
    /// Whether the keeper that returned the list is isolated: it hears no primary.
    isolated: bool,
}

async fn request_list(channel: &RpcChannel<KeeperControlClient>) -> Option<KeeperList> {
    let infos = channel.call(CALL_TIMEOUT, |c, cx| async move { c.keepers(cx).await });
    let infos = infos.await.ok().filter(|i| !i.is_empty())?;
    let isolated = channel.call(CALL_TIMEOUT, |c, cx| async move { c.isolated(cx).await });
    let isolated = isolated.await.unwrap_or(true);
    Some(KeeperList { infos, isolated })
}
