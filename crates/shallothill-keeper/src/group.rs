//! Discovers the other keepers and adjusts the members of the config log to them.

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
use crate::membership_planner::{MemberObservation, MembershipChange, Reason};
use crate::peer::MeetRequest;
use crate::peers::Peer;
use crate::sync;

/// `CHECK_INTERVAL` is the time between two checks of the group.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// `CALL_TIMEOUT` bounds a call to another keeper.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// `GroupManager` polls the members of the config log and, at the primary, adds and removes
/// members.
#[derive(Debug)]
pub struct GroupManager {
    /// State that the keeper's tasks share.
    pub keeper: Arc<Keeper>,
    /// Tracks the polling tasks.
    pub tasks: TaskTracker,
    /// Stops the manager and its polling tasks.
    pub stop: CancellationToken,
}

impl GroupManager {
    /// `run` checks the group at each `CHECK_INTERVAL` until `stop` is cancelled.
    pub async fn run(self) {
        let mut poll_tasks = BTreeMap::new();
        let mut heartbeat_starts = HeartbeatStarts::default();
        let mut ticks = self.keeper.timer.every(CHECK_INTERVAL);
        loop {
            tokio::select! {
                tick = ticks.recv() => if tick.is_none() { return },
                () = self.stop.cancelled() => return,
            }
            self.update_peers(&mut poll_tasks);
            heartbeat_starts.update(&self.keeper);
            if self.is_in_group() {
                self.meet_peers_of_unknown_zone().await;
                self.change_members(&poll_tasks, &heartbeat_starts).await;
            } else {
                self.find_group().await;
            }
        }
    }

    // The log defines the members; a keeper outside of the group polls the seeds as well.
    fn update_peers(&self, poll_tasks: &mut PollTasks) {
        let keeper = &self.keeper;
        let status = keeper.log.status().replica;
        let complete = status.filter(|r| r.member_state == MemberState::Complete);
        let mut ids = complete.map_or_else(Vec::new, |r| r.members);
        if !self.is_in_group() {
            ids.extend(keeper.settings.members());
        }
        keeper.peers.set_discovered(&ids);
        let all = keeper.peers.all();
        poll_tasks.retain(|id, task| {
            let is_peer = all.contains_key(id);
            if !is_peer {
                task.stop.cancel();
            }
            is_peer
        });
        for id in all.keys() {
            poll_tasks.entry(*id).or_insert_with(|| {
                let stop = self.stop.child_token();
                let poll = sync::poll_peer(Arc::clone(keeper), *id, stop.clone());
                self.tasks.spawn(poll);
                let started_at = keeper.timer.now();
                PollTask { stop, started_at }
            });
        }
    }

    // Whether this keeper is a member and a primary, possibly itself, is known.
    fn is_in_group(&self) -> bool {
        let status = self.keeper.log.status();
        let me = self.keeper.settings.id;
        let is_member = status.replica.is_some_and(|r| r.members.contains(&me));
        is_member && status.primary.is_some()
    }

    async fn meet_peers_of_unknown_zone(&self) {
        for (id, peer) in self.keeper.peers.all().iter() {
            if lock(&peer.zone).is_none() {
                self.meet(*id, peer).await;
            }
        }
    }

    async fn find_group(&self) {
        for (id, peer) in self.keeper.peers.all().iter() {
            let Some(reply) = self.meet(*id, peer).await else {
                continue;
            };
            let primary = reply.primary.filter(|p| *p != self.keeper.settings.id);
            if let Some(primary) = primary.filter(|p| p != id) {
                // The primary, which adds members, may not be among the seeds.
                let mut ids: Vec<KeeperId> = self.keeper.peers.all().keys().copied().collect();
                ids.push(primary);
                self.keeper.peers.set_discovered(&ids);
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
            has_complete_log: status.is_some_and(|r| r.member_state == MemberState::Complete),
        };
        let call = peer.peer_rpc.call(CALL_TIMEOUT, |client, cx| async move {
            client.meet(cx, req).await
        });
        let reply = call.await.ok()?;
        self.keeper.peers.record_zone(id, &reply.zone);
        Some(reply)
    }

    async fn change_members(&self, poll_tasks: &PollTasks, heartbeat_starts: &HeartbeatStarts) {
        let keeper = &self.keeper;
        let status = keeper.log.status();
        if status.primary != Some(keeper.settings.id) {
            return;
        }
        let Some(replica) = status.replica else {
            return;
        };
        let now = keeper.timer.now();
        let observed = |id: &KeeperId| {
            (
                *id,
                observe_member(keeper, *id, poll_tasks, heartbeat_starts),
            )
        };
        let observations = replica.members.iter().map(observed).collect();
        let next =
            lock(&keeper.membership_planner).next_change(now, &replica.members, &observations);
        let Some(change) = next else {
            return;
        };
        log_change(&change);
        if let Err(e) = keeper.log.change_members(change.members).await {
            warn!("group: the members were not changed: {e:?}; the next check retries");
        }
    }
}

fn log_change(change: &MembershipChange) {
    let list: Vec<String> = change
        .members
        .iter()
        .map(|k| k.host_ip().to_string())
        .collect();
    let members = list.join(", ");
    match &change.reason {
        Reason::JoinRequested(id) => {
            let joins = id.host_ip().to_string();
            info!(joins, "group: changing the members to {members}");
        }
        Reason::LeaveRequested(id) => {
            let leaves = id.host_ip().to_string();
            info!(leaves, "group: changing the members to {members}");
        }
        Reason::Silent { member, silent_for } => {
            let leaves = member.host_ip().to_string();
            let silent_ms = silent_for.map(|d| d.as_millis() as u64);
            info!(
                leaves,
                silent_ms, "group: changing the members to {members}"
            );
        }
    }
}

/// `PollTask` is a running task that polls another keeper.
#[derive(Debug)]
struct PollTask {
    stop: CancellationToken,
    started_at: Millis,
}

type PollTasks = BTreeMap<KeeperId, PollTask>;

/// `HeartbeatStarts` holds the time of the first heartbeat to each member. It is empty unless this
/// keeper is the primary.
#[derive(Debug, Default)]
struct HeartbeatStarts {
    by_member: BTreeMap<KeeperId, Millis>,
}

impl HeartbeatStarts {
    fn update(&mut self, keeper: &Keeper) {
        let status = keeper.log.status();
        let is_primary = status.primary == Some(keeper.settings.id);
        let members = status.replica.filter(|_| is_primary);
        let members = members.map_or_else(Vec::new, |r| r.members);
        self.by_member.retain(|id, _| members.contains(id));
        for id in members {
            self.by_member.entry(id).or_insert(keeper.timer.now());
        }
    }
}

fn observe_member(
    keeper: &Keeper,
    id: KeeperId,
    poll_tasks: &PollTasks,
    heartbeat_starts: &HeartbeatStarts,
) -> MemberObservation {
    let now = keeper.timer.now();
    let heartbeats_since = heartbeat_starts.by_member.get(&id).copied().unwrap_or(now);
    let polled_since = poll_tasks.get(&id).map_or(now, |task| task.started_at);
    let Some(peer) = keeper.peers.get(id) else {
        // This keeper itself, or a member that is not polled yet.
        let is_me = id == keeper.settings.id;
        return MemberObservation {
            last_answer: is_me.then_some(now),
            polled_since,
            heartbeats_since,
        };
    };
    let last_answer = *lock(&peer.last_answer);
    MemberObservation {
        last_answer: last_answer.max(*lock(&peer.last_heartbeat_answer)),
        polled_since,
        heartbeats_since,
    }
}
