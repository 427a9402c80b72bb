//! Restores a ledger member that lost its disk from the other members of its group.

use std::sync::Arc;
use std::time::Duration;

use futures::future;
use shallothill_core::ids::KeeperId;
use shallothill_core::incarnation::Incarnation;
use shallothill_ledger::{MemberStatus, Recovery, RecoveryReply};
use tracing::{info, warn};

use crate::keeper::Keeper;

/// `ASK_TIMEOUT` bounds the time of one page, which has up to 4 MB.
const ASK_TIMEOUT: Duration = Duration::from_secs(5);

/// `ROUND_PAUSE` is the pause after a round in which a member did not answer.
const ROUND_PAUSE: Duration = Duration::from_millis(500);

/// `WARN_EVERY` is the number of rounds without an answer between two warnings.
const WARN_EVERY: u32 = 60;

/// `RECOVERED` is the counter of the first life after a lost disk; a new group starts with 1.
const RECOVERED: u64 = 2;

/// `first_incarnation` returns the life of a member of a new group.
pub fn first_incarnation() -> Incarnation {
    life(1)
}

/// `run` asks the other members until this one is whole. It waits while the config log forms a
/// new group, because the members of a new group have nothing to recover.
pub async fn run(keeper: Arc<Keeper>) {
    let mut failed: u32 = 0;
    while keeper.log.status().forming {
        pause(&keeper).await;
    }
    let group = keeper.settings.ledger_group();
    let mut recovery = Recovery::new(keeper.settings.id, life(RECOVERED), &group);
    while keeper.ledger.state().status == MemberStatus::Recovering {
        if let Some(records) = recovery.finish() {
            if keeper.ledger.restore(records).await.is_some() {
                info!("ledger: recovered from the other keepers of the region");
            }
            return;
        }
        let asked = group.iter().map(|id| ask(&keeper, &recovery, *id));
        let replies = future::join_all(asked).await;
        let lacking = replies.iter().any(Option::is_none);
        for reply in replies.into_iter().flatten().flatten() {
            recovery.on_reply(reply);
        }
        if lacking && recovery.finish().is_none() {
            if failed.is_multiple_of(WARN_EVERY) {
                warn!(
                    "ledger: the disk is new or was lost, and too few keepers of the region \
                     answer to recover from; start them"
                );
            }
            failed = failed.saturating_add(1);
            pause(&keeper).await;
        }
    }
}

// Returns `None` for a member that did not answer, and `Some(None)` when nothing is to be asked.
async fn ask(keeper: &Keeper, recovery: &Recovery, id: KeeperId) -> Option<Option<RecoveryReply>> {
    let Some(peer) = keeper.peers.get(id) else {
        return Some(None);
    };
    let Some(req) = recovery.request(id) else {
        return Some(None);
    };
    let call = peer.peer.call(ASK_TIMEOUT, |client, cx| async move {
        client.recover(cx, req).await
    });
    call.await.ok().flatten().map(Some)
}

async fn pause(keeper: &Keeper) {
    // The timer service ends only with the process.
    let _ = keeper.timer.after(ROUND_PAUSE).await;
}

// The counter orders the lives, and the random half keeps two lives apart whose counters were
// chosen without knowledge of each other.
fn life(counter: u64) -> Incarnation {
    Incarnation((counter << 32) | u64::from(rand::random::<u32>()))
}
