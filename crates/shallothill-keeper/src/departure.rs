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
/// A keeper is replaced if another member is in its data centre. Once it stops, the group survives
/// one loss less until it is removed. A keeper without a replacement stays a member.
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
        return is_replaceable(keeper, me);
    };
    if primary == me {
        return record_leave_request(keeper, me);
    }
    let Some(peer) = keeper.peers.get(primary) else {
        return is_replaceable(keeper, me);
    };
    let call = peer
        .peer_rpc
        .call(REQUEST_TIMEOUT, |client, cx| async move {
            client.leave(cx, me).await
        });
    call.await.unwrap_or_else(|_| is_replaceable(keeper, me))
}

/// `record_leave_request` records at the primary that `from` is about to stop. It returns whether
/// `from` is a member that another one in its data centre can replace.
pub fn record_leave_request(keeper: &Keeper, from: KeeperId) -> bool {
    let replaceable = is_replaceable(keeper, from);
    if replaceable {
        lock(&keeper.membership_planner).request_leave(keeper.timer.now(), from);
    }
    replaceable
}

// Whether `id` is a member of a group that is large enough without it, and another member is or may
// be in its data centre: the data centre of one that has just joined is not known yet.
fn is_replaceable(keeper: &Keeper, id: KeeperId) -> bool {
    let replica = keeper.log.status().replica;
    let members = replica.map_or_else(Vec::new, |r| r.members);
    let keepers = keeper.known_keepers();
    let data_centre_of = |id: KeeperId| {
        let info = keepers.iter().find(|info| info.id == id);
        info.map(|info| &info.zone.data_centre)
    };
    let own = data_centre_of(id);
    let replaces = |other: &KeeperId| data_centre_of(*other).is_none_or(|at| Some(at) == own);
    let min_members = lock(&keeper.membership_planner).options().min_members();
    let mut others = members.iter().filter(|other| **other != id);
    members.contains(&id) && members.len() > min_members && others.any(replaces)
}
