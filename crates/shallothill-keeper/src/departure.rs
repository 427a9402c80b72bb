//! Leaves the group of the config log before a planned stop.

use std::time::Duration;

use shallothill_core::ids::KeeperId;
use tracing::info;

use crate::keeper::{Keeper, lock};

/// `LEAVE_TIMEOUT` bounds the wait for the removal, which takes up to one interval between checks
/// of the group and a commit.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(1500);

/// `REQUEST_INTERVAL` is the time between two requests to the primary.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// `REQUEST_TIMEOUT` bounds one request to the primary.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

/// `leave` requests that the primary remove this keeper and waits up to [`LEAVE_TIMEOUT`] for that.
///
/// A group that is large enough without this keeper would survive one loss less from its stop until
/// its removal. In a smaller group the keeper stays a member.
pub async fn leave(keeper: &Keeper) {
    let me = keeper.settings.id;
    let mut end = keeper.timer.after(LEAVE_TIMEOUT);
    while request_removal(keeper, me).await {
        tokio::select! {
            _ = keeper.timer.after(REQUEST_INTERVAL) => {}
            _ = &mut end => {
                info!(
                    "group: this keeper stops before its removal; the primary removes it once it \
                     is silent"
                );
                return;
            }
        }
    }
}

// Sends one request; returns whether the removal is still to be expected.
async fn request_removal(keeper: &Keeper, me: KeeperId) -> bool {
    let Some(primary) = keeper.log.status().primary else {
        return is_removable(keeper, me);
    };
    if primary == me {
        return record_leave_request(keeper, me);
    }
    let Some(peer) = keeper.peers.get(primary) else {
        return is_removable(keeper, me);
    };
    let call = peer
        .peer_rpc
        .call(REQUEST_TIMEOUT, |client, cx| async move {
            client.leave(cx, me).await
        });
    call.await.unwrap_or_else(|_| is_removable(keeper, me))
}

/// `record_leave_request` records at the primary that `from` is about to stop. It returns whether
/// the removal of `from` is to be expected.
pub fn record_leave_request(keeper: &Keeper, from: KeeperId) -> bool {
    let removable = is_removable(keeper, from);
    if removable {
        lock(&keeper.membership_planner).request_leave(keeper.timer.now(), from);
    }
    removable
}

// Whether `id` is a member of a group that is large enough without it.
fn is_removable(keeper: &Keeper, id: KeeperId) -> bool {
    let replica = keeper.log.status().replica;
    let members = replica.map_or_else(Vec::new, |r| r.members);
    let planner = lock(&keeper.membership_planner);
    members.contains(&id) && planner.options().can_leave(members.len())
}
