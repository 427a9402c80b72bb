//! Leaves the group of the config log before a planned stop.

use std::time::Duration;

use shallothill_core::ids::KeeperId;
use tracing::info;

use crate::keeper::{Keeper, lock};

/// `LEAVE_WITHIN` bounds the wait for the change of the members, which takes the time between two looks
/// at the group and a commit.
const LEAVE_WITHIN: Duration = Duration::from_millis(1500);

/// `ASK_EVERY` is the time between two questions to the primary.
const ASK_EVERY: Duration = Duration::from_millis(100);

/// `ASK_TIMEOUT` bounds one question.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// `leave` asks the primary to remove this keeper and waits until that is done, for a short time.
///
/// A keeper that stops while another member stands in its data centre is replaced. Until it is
/// removed, the group survives one loss less. One that nobody replaces stays a member.
pub async fn leave(keeper: &Keeper) {
    let me = keeper.settings.id;
    let mut end = keeper.timer.after(LEAVE_WITHIN);
    while ask_primary(keeper, me).await {
        tokio::select! {
            _ = keeper.timer.after(ASK_EVERY) => {}
            _ = &mut end => {
                info!("group: this keeper stops as a member, which is removed once it is silent");
                return;
            }
        }
    }
}

// Whether it is worth waiting for the primary to remove this keeper.
async fn ask_primary(keeper: &Keeper, me: KeeperId) -> bool {
    let Some(primary) = keeper.log.status().primary else {
        return is_replaced(keeper, me);
    };
    if primary == me {
        return ask(keeper, me);
    }
    let Some(peer) = keeper.peers.get(primary) else {
        return is_replaced(keeper, me);
    };
    let call = peer.peer.call(ASK_TIMEOUT, |client, cx| async move {
        client.leave(cx, me).await
    });
    call.await.unwrap_or_else(|_| is_replaced(keeper, me))
}

/// `ask` notes at the primary that `from` is about to stop; returns whether it is a member that
/// another one in its data centre can replace.
pub fn ask(keeper: &Keeper, from: KeeperId) -> bool {
    let replaced = is_replaced(keeper, from);
    if replaced {
        lock(&keeper.membership_planner).request_leave(keeper.timer.now(), from);
    }
    replaced
}

// Whether `id` is a member of a group that is large enough without it, and another member stands in its
// data centre, or may do so: the place of one that has just joined is not known yet.
fn is_replaced(keeper: &Keeper, id: KeeperId) -> bool {
    let replica = keeper.log.status().replica;
    let members = replica.map_or_else(Vec::new, |r| r.members);
    let places = keeper.known_keepers();
    let place = |id: KeeperId| {
        let known = places.iter().find(|info| info.id == id);
        known.map(|info| &info.zone.data_centre)
    };
    let own = place(id);
    let replaces = |other: &KeeperId| place(*other).is_none_or(|at| Some(at) == own);
    let min_members = lock(&keeper.membership_planner).options().min_members();
    let mut others = members.iter().filter(|other| **other != id);
    members.contains(&id) && members.len() > min_members && others.any(replaces)
}
