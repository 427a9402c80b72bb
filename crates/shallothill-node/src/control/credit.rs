//! Asks keepers for the tokens of callers with quotas.

use std::sync::Arc;
use std::time::Duration;

use shallothill_core::time::Millis;
use shallothill_runtime::timer::Timer;
use tokio::time;
use tokio_util::sync::CancellationToken;
use tracing::{debug, info, warn};

use crate::control::{Keeper, Keepers};
use crate::entry::CreditPool;

/// `REQUEST_PERIOD` is the time between requests while no request of a caller waits.
const REQUEST_PERIOD: Duration = Duration::from_millis(400);

/// `CALL_TIMEOUT` bounds a call, so that a waiting request can be served by another keeper. A keeper
/// answers within 350 ms.
const CALL_TIMEOUT: Duration = Duration::from_millis(450);

/// `FAILURE_PAUSE` is the pause before the next keeper is asked for waiting requests.
const FAILURE_PAUSE: Duration = Duration::from_millis(30);

/// `RETURN_AFTER` is the time after which the nearest keeper is tried again.
const RETURN_AFTER: Duration = Duration::from_secs(10);

/// `CreditClient` fills the pool of tokens, with one request in flight at most.
#[derive(Debug)]
pub struct CreditClient {
    /// The tokens of this node.
    pub pool: Arc<CreditPool>,
    /// The keepers that are asked, the nearest first.
    pub keepers: Arc<Keepers>,
    /// The timer for the requests.
    pub timer: Timer,
}

/// `Followed` is the keeper that is asked, as an index in the list.
#[derive(Debug, Default)]
struct Followed {
    index: usize,
    since: Millis,
    failing: bool,
}

impl CreditClient {
    /// `run` asks for tokens until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let mut period = self.timer.every(REQUEST_PERIOD);
        let mut followed = Followed::default();
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = self.pool.needed() => {}
                _ = period.recv() => {}
            }
            if !self.ask(&mut followed).await {
                // The timer fails only when the process ends.
                let _ = self.timer.after(FAILURE_PAUSE).await;
                self.pool.ask_again();
            }
        }
    }

    // Returns false if the keeper did not answer or could not ask the issuer; the next request then
    // goes to another keeper.
    async fn ask(&self, followed: &mut Followed) -> bool {
        let Some(req) = self.pool.request() else {
            return true;
        };
        let now = self.timer.now();
        let all = self.keepers.all();
        let returns = now.saturating_since(followed.since) >= RETURN_AFTER;
        if returns && all.first().is_some_and(|k| k.is_reachable()) {
            (followed.index, followed.since) = (0, now);
        }
        let index = followed.index % all.len().max(1);
        let Some(keeper) = all.get(index) else {
            return false;
        };
        let call = keeper
            .channel()
            .call(CALL_TIMEOUT, |c, cx| async move { c.credit(cx, req).await });
        let answered = match time::timeout(CALL_TIMEOUT, call).await {
            Ok(Ok(Some(reply))) => self.pool.apply(&reply),
            Ok(Ok(None)) => false,
            Ok(Err(e)) => {
                debug!("credit: {e}");
                false
            }
            Err(_) => false,
        };
        if !answered {
            (followed.index, followed.since) = ((index + 1) % all.len(), now);
        }
        self.log_change(followed, keeper, answered);
        answered
    }

    fn log_change(&self, followed: &mut Followed, keeper: &Keeper, answered: bool) {
        let id = keeper.id().0;
        match (followed.failing, answered) {
            (false, false) => warn!(
                keeper = id,
                "credit: a keeper does not grant or deny tokens"
            ),
            (true, true) => info!(keeper = id, "credit: a keeper answers again"),
            _ => {}
        }
        followed.failing = !answered;
    }
}
