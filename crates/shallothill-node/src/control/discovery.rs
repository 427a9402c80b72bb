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

use crate::control::{Keeper, Keepers};

/// `SEARCH_EVERY` is the pause between two rounds over the seeds while no keeper answers.
const SEARCH_EVERY: Duration = Duration::from_millis(300);

/// `REFRESH_EVERY` is the time between two looks at the group of a keeper that answers.
const REFRESH_EVERY: Duration = Duration::from_secs(5);

/// `NEARER_EVERY` is the time between two looks while no keeper of the own region is known, which is
/// usual for a moment after all hosts started: what a keeper of another region sends is billed.
const NEARER_EVERY: Duration = Duration::from_millis(500);

/// `NEARER_LOOKS` bounds these looks, for regions without a keeper.
const NEARER_LOOKS: u32 = 20;

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
            let all = self.keepers.all();
            let found = match all.iter().find(|k| k.heard()) {
                Some(keeper) => ask_keeper(keeper).await,
                None => self.search().await,
            };
            let pause = match found {
                Some(infos) => {
                    lost = false;
                    let number = infos.len();
                    if self.keepers.learn(infos) {
                        info!("discovery: {number} keepers are known");
                    }
                    if !self.keepers.has_near() && looks < NEARER_LOOKS {
                        looks += 1;
                        NEARER_EVERY
                    } else {
                        looks = 0;
                        REFRESH_EVERY
                    }
                }
                None => {
                    if !lost {
                        warn!("discovery: no keeper answers at the seeds; searching on");
                    }
                    lost = true;
                    SEARCH_EVERY
                }
            };
            self.rest(pause).await;
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
            if pause > LOOK_EVERY && !all.iter().any(|k| k.heard()) {
                return;
            }
        }
    }

    // One seed a round, since most seeds stand in other regions and usually each of them answers.
    async fn search(&self) -> Option<Vec<KeeperInfo>> {
        let seeds = self.keepers.seeds();
        let seed = seeds.choose(&mut rand::rng()).copied()?;
        ask_seed(seed).await
    }
}

async fn ask_keeper(keeper: &Keeper) -> Option<Vec<KeeperInfo>> {
    let call = keeper
        .channel()
        .call(TIMEOUT, |c, cx| async move { c.keepers(cx).await });
    let infos = call.await.ok();
    keeper.note(infos.is_some());
    infos.filter(|i| !i.is_empty())
}

async fn ask_seed(address: SocketAddr) -> Option<Vec<KeeperInfo>> {
    let channel: RpcChannel<KeeperControlClient> = RpcChannel::new(address);
    let call = channel.call(TIMEOUT, |c, cx| async move { c.keepers(cx).await });
    call.await.ok().filter(|i| !i.is_empty())
}
