//! Reads the departures of backend servers from the other keepers: after the loss of the disk, and
//! after each change of the members, as those that left may have stored them.

use std::sync::Arc;
use std::time::Duration;

use futures::future;
use shallothill_core::ids::KeeperId;
use shallothill_core::time::Millis;
use shallothill_directory::{DEPARTURE_RETENTION, DepartureReading};
use shallothill_replica::MemberState;
use shallothill_wire::departures::RECORD_TIMEOUT;

use crate::endpoint_departures::KnownDepartures;
use crate::keeper::Keeper;

/// `CALL_TIMEOUT` bounds the transfer of the departures of all nodes.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// `CHECK_PAUSE` is the time between two looks at the group.
const CHECK_PAUSE: Duration = Duration::from_millis(100);

/// `ROUND_PAUSE` is the delay after the first round in which too few members knew all departures.
const ROUND_PAUSE: Duration = Duration::from_millis(400);

/// `MAX_ROUND_PAUSE` is the longest delay between two rounds, as the others may be in other regions.
const MAX_ROUND_PAUSE: Duration = Duration::from_secs(5);

/// `run` keeps the departures complete until the timer service ends.
pub async fn run(keeper: Arc<Keeper>) {
    let departures = &keeper.departures;
    let mut read_from = Vec::new();
    let mut round_pause = ROUND_PAUSE;
    loop {
        if !departures.is_complete() && needs_none(&keeper) {
            departures.set_complete().await;
        }
        let mut pause = CHECK_PAUSE;
        if let Some(members) = current_members(&keeper).filter(|m| *m != read_from) {
            if read_all(&keeper, &members).await {
                departures.set_complete().await;
                read_from = members;
                round_pause = ROUND_PAUSE;
            } else {
                pause = round_pause;
                round_pause = (round_pause * 2).min(MAX_ROUND_PAUSE);
            }
        }
        if keeper.timer.after(pause).await.is_err() {
            return;
        }
    }
}

// A new group has stored nothing, and what was stored before the start of the process has expired
// once it has run for the retention.
fn needs_none(keeper: &Keeper) -> bool {
    let expired = keeper.timer.now() >= Millis(0) + DEPARTURE_RETENTION;
    expired || keeper.log.status().formed
}

// Returns the members once the log of this keeper is complete and has a primary.
fn current_members(keeper: &Keeper) -> Option<Vec<KeeperId>> {
    let status = keeper.log.status();
    let replica = status.replica.filter(|_| status.primary.is_some())?;
    (replica.member_state == MemberState::Complete).then_some(replica.members)
}

// Reads the departures of the other members; returns whether none can be missing now. A keeper that
// lost its disk first waits for the end of calls that it may have acknowledged before that, as the
// others may store their departures only after they have answered it.
async fn read_all(keeper: &Keeper, members: &[KeeperId]) -> bool {
    if !keeper.departures.is_complete() && keeper.timer.now() < Millis(0) + RECORD_TIMEOUT {
        return false;
    }
    let me = keeper.settings.id;
    let others: Vec<KeeperId> = members.iter().copied().filter(|id| *id != me).collect();
    let calls = others.iter().map(|id| known_at(keeper, *id));
    let replies: Vec<_> = future::join_all(calls)
        .await
        .into_iter()
        .flatten()
        .collect();
    let reading = DepartureReading {
        members: others.len() + 1,
        own_complete: keeper.departures.is_complete(),
        answers: replies.len(),
        complete_answers: replies.iter().filter(|r| r.complete).count(),
    };
    let read = replies.into_iter().map(|r| r.by_node).collect();
    keeper.departures.merge(keeper.timer.now(), read).await;
    reading.is_enough()
}

async fn known_at(keeper: &Keeper, id: KeeperId) -> Option<KnownDepartures> {
    let peer = keeper.peers.get(id)?;
    let call = peer.peer_rpc.call(CALL_TIMEOUT, |client, cx| async move {
        client.departures(cx).await
    });
    call.await.ok()
}
