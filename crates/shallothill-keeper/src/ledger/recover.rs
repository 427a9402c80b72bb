//! Recovers a ledger member that lost its disk from the other members of its group.

use std::sync::Arc;
use std::time::Duration;

use futures::future;
use shallothill_core::ids::KeeperId;
use shallothill_core::incarnation::Incarnation;
use shallothill_ledger::{MemberStatus, Recovery, RecoveryReply};
use tracing::{info, warn};

use crate::keeper::Keeper;

/// `PAGE_TIMEOUT` bounds the transfer of one page of up to 4 MB.
const PAGE_TIMEOUT: Duration = Duration::from_secs(5);

/// `ROUND_PAUSE` is the delay after a round in which a member did not answer.
const ROUND_PAUSE: Duration = Duration::from_millis(500);

/// `ROUNDS_PER_WARNING` is the number of incomplete rounds per warning.
const ROUNDS_PER_WARNING: u32 = 60;

/// `FIRST_RECOVERED_COUNTER` is the incarnation counter after the first lost disk; a new group
/// starts with 1.
const FIRST_RECOVERED_COUNTER: u64 = 2;

/// `first_incarnation` returns a random incarnation for a member of a new group.
pub fn first_incarnation() -> Incarnation {
    new_incarnation(1)
}

/// `run` requests records from the other members until this one is ready. It waits while the config
/// log forms a new group, because the members of a new group have nothing to recover.
pub async fn run(keeper: Arc<Keeper>) {
    let mut failed_rounds: u32 = 0;
    while keeper.log.status().forming {
        pause(&keeper).await;
    }
    let group = keeper.settings.ledger_group();
    let mut recovery = Recovery::new(
        keeper.settings.id,
        new_incarnation(FIRST_RECOVERED_COUNTER),
        &group,
    );
    while keeper.ledger.state().status == MemberStatus::Recovering {
        if let Some(records) = recovery.try_finish() {
            if keeper.ledger.restore(records).await.is_some() {
                info!("ledger: recovered from the other keepers of the region");
            }
            return;
        }
        let requests = group.iter().map(|id| request_page(&keeper, &recovery, *id));
        let replies = future::join_all(requests).await;
        let incomplete = replies.iter().any(Option::is_none);
        for reply in replies.into_iter().flatten().flatten() {
            recovery.on_reply(reply);
        }
        if incomplete && recovery.try_finish().is_none() {
            if failed_rounds.is_multiple_of(ROUNDS_PER_WARNING) {
                warn!(
                    "ledger: the disk is new or was lost, and too few keepers of the region \
                     answer to recover from; start the others"
                );
            }
            failed_rounds = failed_rounds.saturating_add(1);
            pause(&keeper).await;
        }
    }
}

// Returns `None` if the member did not answer, and `Some(None)` if there is nothing to request from
// it.
async fn request_page(
    keeper: &Keeper,
    recovery: &Recovery,
    id: KeeperId,
) -> Option<Option<RecoveryReply>> {
    let Some(peer) = keeper.peers.get(id) else {
        return Some(None);
    };
    let Some(req) = recovery.next_request(id) else {
        return Some(None);
    };
    let call = peer.peer_rpc.call(PAGE_TIMEOUT, |client, cx| async move {
        client.recover(cx, req).await
    });
    call.await.ok().flatten().map(Some)
}

async fn pause(keeper: &Keeper) {
    // The timer service ends only with the process.
    let _ = keeper.timer.after(ROUND_PAUSE).await;
}

// The counter in the upper half orders the incarnations. The random lower half distinguishes two
// incarnations whose counters were chosen without knowledge of each other.
fn new_incarnation(counter: u64) -> Incarnation {
    Incarnation((counter << 32) | u64::from(rand::random::<u32>()))
}
