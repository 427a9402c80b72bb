//! Keeps the discovered keepers and the members of the config log the same.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use shallothill_core::ids::KeeperId;
use shallothill_core::time::Millis;
use shallothill_replica::MemberState;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::{info, warn};

use crate::keeper::{Keeper, lock};
use crate::peer::MeetRequest;
use crate::peers::Peer;
use crate::roster::{Reason, RosterChange, Sighting};
use crate::sync;

/// `EVERY` is the time between two looks at the group.
const EVERY: Duration = Duration::from_millis(300);

/// `CALL_TIMEOUT` bounds a call to another keeper.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// `Group` follows the members of the config log.
#[derive(Debug)]
pub struct Group {
    /// The shared state.
    pub keeper: Arc<Keeper>,
    /// Where tasks for new keepers are started.
    pub tasks: TaskTracker,
    /// Ends the tasks.
    pub stop: CancellationToken,
}

impl Group {
    /// `run` looks at the group until it is stopped.
    pub async fn run(self) {
        let mut followers = BTreeMap::new();
        let mut term = Term::default();
        let mut ticks = self.keeper.timer.every(EVERY);
        loop {
            tokio::select! {
                tick = ticks.recv() => if tick.is_none() { return },
                () = self.stop.cancelled() => return,
            }
            self.follow(&mut followers);
            term.note(&self.keeper);
            if self.is_settled() {
                self.meet_unknown().await;
                self.change_members(&followers, &term).await;
            } else {
                self.meet_all().await;
            }
        }
    }

    // The log decides who the other keepers are; before there is one, the seeds are asked.
    fn follow(&self, followers: &mut Followers) {
        let keeper = &self.keeper;
        let status = keeper.log.status().replica;
        let whole = status.filter(|r| r.member_state == MemberState::Complete);
        let mut ids = whole.map_or_else(Vec::new, |r| r.members);
        if !self.is_settled() {
            ids.extend(keeper.settings.members());
        }
        keeper.peers.set(&ids);
        let all = keeper.peers.all();
        followers.retain(|id, follower| {
            let stays = all.contains_key(id);
            if !stays {
                follower.stop.cancel();
            }
            stays
        });
        for id in all.keys() {
            followers.entry(*id).or_insert_with(|| {
                let stop = self.stop.child_token();
                let follow = sync::follow(Arc::clone(keeper), *id, stop.clone());
                self.tasks.spawn(follow);
                let since = keeper.timer.now();
                Follower { stop, since }
            });
        }
    }

    // Whether this keeper is a member and hears a primary, or is one.
    fn is_settled(&self) -> bool {
        let status = self.keeper.log.status();
        let me = self.keeper.settings.id;
        let member = status.replica.is_some_and(|r| r.members.contains(&me));
        member && status.primary.is_some()
    }

    async fn meet_unknown(&self) {
        for (id, peer) in self.keeper.peers.all().iter() {
            if lock(&peer.zone).is_none() {
                self.meet(*id, peer).await;
            }
        }
    }

    async fn meet_all(&self) {
        for (id, peer) in self.keeper.peers.all().iter() {
            let Some(reply) = self.meet(*id, peer).await else {
                continue;
            };
            let primary = reply.primary.filter(|p| *p != self.keeper.settings.id);
            if let Some(primary) = primary.filter(|p| p != id) {
                // The one that decides may not be among the seeds.
                let mut ids: Vec<KeeperId> = self.keeper.peers.all().keys().copied().collect();
                ids.push(primary);
                self.keeper.peers.set(&ids);
                if let Some(peer) = self.keeper.peers.get(primary) {
                    self.meet(primary, &peer).await;
                    return;
                }
            }
        }
    }

    async fn meet(&self, id: KeeperId, peer: &Peer) -> Option<crate::peer::MeetReply> {
        let status = self.keeper.log.status().replica;
        let req = MeetRequest {
            from: self.keeper.settings.id,
            zone: self.keeper.settings.zone(),
            whole: status.is_some_and(|r| r.member_state == MemberState::Complete),
        };
        let call = peer.peer.call(CALL_TIMEOUT, |client, cx| async move {
            client.meet(cx, req).await
        });
        let reply = call.await.ok()?;
        self.keeper.peers.note_zone(id, &reply.zone);
        Some(reply)
    }

    async fn change_members(&self, followers: &Followers, term: &Term) {
        let keeper = &self.keeper;
        let status = keeper.log.status();
        if status.primary != Some(keeper.settings.id) {
            return;
        }
        let Some(replica) = status.replica else {
            return;
        };
        let now = keeper.timer.now();
        let sighting = |id: &KeeperId| (*id, sighting(keeper, *id, followers, term));
        let seen = replica.members.iter().map(sighting).collect();
        let next = lock(&keeper.roster).next(now, &replica.members, &seen);
        let Some(change) = next else {
            return;
        };
        log_change(&change);
        if let Err(e) = keeper.log.change_members(change.members).await {
            warn!("group: the members stay as they are: {e:?}");
        }
    }
}

fn log_change(change: &RosterChange) {
    let list: Vec<String> = change
        .members
        .iter()
        .map(|k| k.host().to_string())
        .collect();
    let members = list.join(", ");
    match &change.reason {
        Reason::Asked(id) => {
            let joins = id.host().to_string();
            info!(joins, "group: changing the members to {members}");
        }
        Reason::Replaced {
            leaver,
            silent_for,
            successor,
        } => {
            let leaves = leaver.host().to_string();
            let silent_ms = silent_for.map(|d| d.as_millis() as u64);
            let successor = successor.map(|k| k.host().to_string());
            info!(
                leaves,
                silent_ms, successor, "group: changing the members to {members}"
            );
        }
    }
}

/// `Follower` polls another keeper.
#[derive(Debug)]
struct Follower {
    stop: CancellationToken,
    since: Millis,
}

type Followers = BTreeMap<KeeperId, Follower>;

/// `Term` notes since when this keeper sends heartbeats to each member, while it is the primary.
#[derive(Debug, Default)]
struct Term {
    since: BTreeMap<KeeperId, Millis>,
}

impl Term {
    fn note(&mut self, keeper: &Keeper) {
        let status = keeper.log.status();
        let leads = status.primary == Some(keeper.settings.id);
        let members = status.replica.filter(|_| leads);
        let members = members.map_or_else(Vec::new, |r| r.members);
        self.since.retain(|id, _| members.contains(id));
        for id in members {
            self.since.entry(id).or_insert(keeper.timer.now());
        }
    }
}

fn sighting(keeper: &Keeper, id: KeeperId, followers: &Followers, term: &Term) -> Sighting {
    let now = keeper.timer.now();
    let heartbeats_since = term.since.get(&id).copied().unwrap_or(now);
    let polls_since = followers.get(&id).map_or(now, |f| f.since);
    let Some(peer) = keeper.peers.get(id) else {
        // This keeper itself, or one that is not polled yet.
        let me = id == keeper.settings.id;
        return Sighting {
            data_centre: me.then(|| keeper.settings.data_centre.clone()),
            heard: me.then_some(now),
            polls_since,
            heartbeats_since,
        };
    };
    let heard = *lock(&peer.heard);
    Sighting {
        data_centre: lock(&peer.zone).as_ref().map(|z| z.data_centre.clone()),
        heard: heard.max(*lock(&peer.answered)),
        polls_since,
        heartbeats_since,
    }
}
