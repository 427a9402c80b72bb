//! Switches to another keeper while the followed one is isolated.

use std::sync::Arc;
use std::time::Duration;

use shallothill_runtime::timer::Timer;
use tokio_util::sync::CancellationToken;

use crate::control::search::Found;
use crate::control::{KeeperSwitch, Keepers, search};

/// `SEARCH_PERIOD` is the time between searches; each asks every other keeper at most once.
const SEARCH_PERIOD: Duration = Duration::from_millis(250);

/// `KeeperFailover` moves the watch to a keeper that hears a primary when the followed one does
/// not.
///
/// After a switch the new keeper sends the whole directory, so the node keeps its keeper while all
/// others are isolated too, such as during an election.
#[derive(Debug)]
pub struct KeeperFailover {
    /// The candidates for the switch.
    pub keepers: Arc<Keepers>,
    /// Holds the isolated keeper and takes the request to follow another one.
    pub switch: Arc<KeeperSwitch>,
    /// The timer for the searches.
    pub timer: Timer,
}

impl KeeperFailover {
    /// `run` checks for an isolated keeper until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let mut every = self.timer.every(SEARCH_PERIOD);
        loop {
            tokio::select! {
                _ = every.recv() => {}
                () = stop.cancelled() => return,
            }
            if let Some(isolated) = self.switch.isolated_keeper()
                && let Found::Connected(index) = search::find_keeper(&self.keepers, isolated).await
            {
                self.switch.request(index);
            }
        }
    }
}
