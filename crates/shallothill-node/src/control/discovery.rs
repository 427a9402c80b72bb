//! Finds the keepers through seeds and follows changes of their group.

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

/// `SEARCH_EVERY` is the pause between two rounds over the seeds while no keeper answers.
const SEARCH_EVERY: Duration = Duration::from_millis(300);

/// `REFRESH_EVERY` is the time between two looks at the group of a keeper that answers.
const REFRESH_EVERY: Duration = Duration::from_secs(5);

/// `EAGER_EVERY` is the time between two looks while the keeper that answers is isolated, or none
/// of the own region is known, which is usual for a moment after all hosts started: what a keeper
/// of another region sends is billed.
const EAGER_EVERY: Duration = Duration::from_millis(500);

/// `EAGER_LOOKS` bounds these looks, for regions without a keeper and for sites that are cut off.
const EAGER_LOOKS: u32 = 20;

/// `LOOK_EVERY` is the time between two looks at whether a keeper still answers.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// `TIMEOUT` bounds the wait for one keeper.
const TIMEOUT: Duration = Duration::from_secs(1);

/// `Discovery` keeps the list of keepers current.
#[derive(Debug)]
pub struct Discovery {
    /// The list.
    pub keepers: Arc<Keepers>,
    /// The timer service.
    pub timer: Timer,
}

impl Discovery {
    /// `run` searches and refreshes until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        tokio::select! {
            () = self.follow() => {}
            () = stop.cancelled() => {}
        }
    }

    async fn follow(&self) {
        let mut lost = false;
        let mut looks = 0;
        loop {
            let Some(list) = self.ask().await else {
                if !lost {
                    warn!("discovery: no keeper answers at the seeds; searching on");
                }
                lost = true;
                self.rest(SEARCH_EVERY).await;
                continue;
            };
            lost = false;
            let isolated = list.isolated;
            self.take(list);
            if isolated {
                self.ask_another().await;
            }
            let pause = if !isolated && self.keepers.has_same_region_keeper() {
                looks = 0;
                REFRESH_EVERY
            } else if looks < EAGER_LOOKS {
                looks += 1;
                EAGER_EVERY
            } else {
                REFRESH_EVERY
            };
            self.rest(pause).await;
        }
    }

    // An isolated keeper that was just started knows no other one, so its list hides nobody.
    fn take(&self, list: KeeperList) {
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

    async fn ask(&self) -> Option<KeeperList> {
        let all = self.keepers.all();
        match all.iter().find(|k| k.is_reachable()) {
            Some(keeper) => {
                let list = ask(keeper.channel()).await;
                keeper.set_reachable(list.is_some());
                list
            }
            None => self.search().await,
        }
    }

    // The keepers that an isolated one knows may be cut off with it; a seed may not be.
    async fn ask_another(&self) {
        let all = self.keepers.all();
        let known = all.iter().map(|k| k.control_address());
        let seeds = self.keepers.seeds();
        let addresses: Vec<SocketAddr> = known.chain(seeds.iter().copied()).collect();
        let Some(address) = addresses.choose(&mut rand::rng()).copied() else {
            return;
        };
        if let Some(list) = ask(&RpcChannel::new(address)).await {
            self.take(list);
        }
    }

    // Ends early when no keeper answers any more.
    async fn rest(&self, pause: Duration) {
        let until = self.timer.now() + pause;
        while self.timer.now() < until {
            let left = until.saturating_since(self.timer.now());
            // The service ends only with the process.
            let _ = self.timer.after(left.min(LOOK_EVERY)).await;
            let all = self.keepers.all();
            if pause > LOOK_EVERY && !all.iter().any(|k| k.is_reachable()) {
                return;
            }
        }
    }

    // One seed a round, since most seeds stand in other regions and usually each of them answers.
    async fn search(&self) -> Option<KeeperList> {
        let seeds = self.keepers.seeds();
        let seed = seeds.choose(&mut rand::rng()).copied()?;
        ask(&RpcChannel::new(seed)).await
    }
}

/// `KeeperList` is what a keeper says of the others.
struct KeeperList {
    infos: Vec<KeeperInfo>,
    /// Whether the keeper knows no primary.
    isolated: bool,
}

async fn ask(channel: &RpcChannel<KeeperControlClient>) -> Option<KeeperList> {
    let infos = channel.call(TIMEOUT, |c, cx| async move { c.keepers(cx).await });
    let infos = infos.await.ok().filter(|i| !i.is_empty())?;
    let isolated = channel.call(TIMEOUT, |c, cx| async move { c.isolated(cx).await });
    let isolated = isolated.await.unwrap_or(true);
    Some(KeeperList { infos, isolated })
}
