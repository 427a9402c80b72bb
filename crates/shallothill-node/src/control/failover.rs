//! Looks for another keeper while the followed one is isolated.

use std::sync::Arc;
use std::time::Duration;

use shallothill_core::ids::KeeperId;
use shallothill_runtime::timer::Timer;
use tokio_util::sync::CancellationToken;

use crate::control::{Keeper, KeeperSwitch, Keepers};

/// `LOOK_EVERY` is the time between two looks; each one asks every other keeper at most once.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// `TIMEOUT` bounds the wait for one keeper.
const TIMEOUT: Duration = Duration::from_millis(500);

/// `KeeperFailover` moves the watch to a keeper that hears a primary, when the followed one does
/// not.
///
/// A move brings the whole directory, so the node stays where it is while no keeper is better off,
/// such as during an election.
#[derive(Debug)]
pub struct KeeperFailover {
    /// The keepers.
    pub keepers: Arc<Keepers>,
    /// Tells which keeper is isolated, and is told which one to follow.
    pub switch: Arc<KeeperSwitch>,
    /// The timer service.
    pub timer: Timer,
}

impl KeeperFailover {
    /// `run` looks until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let mut every = self.timer.every(LOOK_EVERY);
        loop {
            tokio::select! {
                _ = every.recv() => {}
                () = stop.cancelled() => return,
            }
            if let Some(isolated) = self.switch.isolated_keeper()
                && let Some(place) = self.find(isolated).await
            {
                self.switch.request(place);
            }
        }
    }

    // The nearest keepers are asked first, one at a time.
    async fn find(&self, isolated: KeeperId) -> Option<usize> {
        let all = self.keepers.all();
        let others = all.iter().enumerate().filter(|(_, k)| k.id() != isolated);
        for (place, keeper) in others {
            if is_settled(keeper).await {
                return Some(place);
            }
        }
        None
    }
}

async fn is_settled(keeper: &Keeper) -> bool {
    let call = keeper
        .channel()
        .call(TIMEOUT, |c, cx| async move { c.isolated(cx).await });
    matches!(call.await, Ok(false))
}
