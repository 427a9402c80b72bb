//! Stores departures of backend servers at the keepers and reads them after a restart.
//!
//! A departure counts as stored at a majority of the keepers, and a starting node reads from a
//! majority of keepers that have lost none, so that at least one has each departure that was
//! confirmed.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use futures::stream::{FuturesUnordered, StreamExt};
use shallothill_core::ids::NodeName;
use shallothill_directory::Departure;
use shallothill_wire::departures::{KeeperGroup, RECORD_TIMEOUT, RecordDeparturesRequest};

use crate::control::{Keeper, Keepers};

/// `CALL_TIMEOUT` is the longest wait for the departures that a keeper has.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// `Majority` is the result of calls to all keepers of the list.
enum Majority<T> {
    /// A majority of the group has answered.
    Reached(Vec<T>),
    /// Too few have answered.
    Missed,
    /// The list of keepers was incomplete; keepers were added to it.
    ListGrew,
}

/// `record_departure` stores the departure of a backend server of `node`; returns whether a majority
/// of the keepers has it.
pub async fn record_departure(keepers: &Keepers, node: &NodeName, departure: Departure) -> bool {
    let req = RecordDeparturesRequest {
        node: node.clone(),
        departures: vec![departure],
    };
    let record = |keeper: Arc<Keeper>| {
        let req = req.clone();
        async move {
            let call = keeper.channel().call(RECORD_TIMEOUT, |c, cx| async move {
                c.record_departures(cx, req).await
            });
            let reply = call.await.ok()?;
            Some((reply.group, reply.durable.then_some(())))
        }
    };
    call_majority(keepers, record).await.is_some()
}

/// `recent_departures` returns the departures of the backend servers of `node`, or `None` if no
/// majority of the keepers answers and knows them.
pub async fn recent_departures(keepers: &Keepers, node: &NodeName) -> Option<Vec<Departure>> {
    let ask =
        |keeper: Arc<Keeper>| {
            let node = node.clone();
            async move {
                let call = keeper.channel().call(CALL_TIMEOUT, |c, cx| async move {
                    c.departures(cx, node).await
                });
                let reply = call.await.ok()?;
                Some((reply.group, reply.departures))
            }
        };
    let answers = call_majority(keepers, ask).await?;
    Some(answers.into_iter().flatten().collect())
}

// Calls all keepers until a majority of their group has answered. `call` returns the group of the
// called keeper and its answer, if that counts.
async fn call_majority<T, Fut>(
    keepers: &Keepers,
    call: impl Fn(Arc<Keeper>) -> Fut,
) -> Option<Vec<T>>
where
    Fut: Future<Output = Option<(KeeperGroup, Option<T>)>>,
{
    loop {
        match call_listed(keepers, &call).await {
            Majority::Reached(answers) => return Some(answers),
            Majority::Missed => return None,
            Majority::ListGrew => {}
        }
    }
}

async fn call_listed<T, Fut>(keepers: &Keepers, call: impl Fn(Arc<Keeper>) -> Fut) -> Majority<T>
where
    Fut: Future<Output = Option<(KeeperGroup, Option<T>)>>,
{
    let all = keepers.all();
    // The list may contain keepers that have left the group.
    let mut members = 0;
    let mut calls: FuturesUnordered<_> = all.iter().cloned().map(call).collect();
    let mut answers = Vec::new();
    while let Some(reply) = calls.next().await {
        let Some((group, answer)) = reply else {
            continue;
        };
        if keepers.uses_discovery() && keepers.add(group.keepers) {
            return Majority::ListGrew;
        }
        if keepers.uses_discovery() && group.members == 0 {
            // A keeper that has not read its log yet cannot tell what a majority is.
            continue;
        }
        members = members.max(usize::try_from(group.members).unwrap_or(usize::MAX));
        answers.extend(answer);
        let group_size = if members > 0 { members } else { all.len() };
        if answers.len() > group_size / 2 {
            return Majority::Reached(answers);
        }
    }
    Majority::Missed
}
