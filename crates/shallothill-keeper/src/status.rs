//! Collects which keepers and nodes act on the current configuration.

use std::collections::BTreeMap;
use std::time::Duration;

use futures::future;
use shallothill_core::ids::{NodeName, Zone};
use shallothill_core::version::ConfigVersion;
use shallothill_wire::operator::{DataCentreStatus, KeeperStatus, StatusReply};

use crate::keeper::{Keeper, lock};
use crate::peer::PeerStatus;

/// `CALL_TIMEOUT` bounds the call to each other keeper.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// `local_status` returns the status of this keeper and the nodes that report to it.
pub fn local_status(keeper: &Keeper) -> PeerStatus {
    let nodes = lock(&keeper.node_registry).node_versions(keeper.settings.id);
    PeerStatus {
        config_version: keeper.published.load().version(),
        primary: keeper.log.status().primary == Some(keeper.settings.id),
        nodes,
    }
}

/// `collect` gets the status of the other keepers and counts the nodes of each data centre.
pub async fn collect(keeper: &Keeper) -> StatusReply {
    let all = keeper.peers.all();
    let calls = all.iter().map(|(id, peer)| async move {
        let call = peer.peer_rpc.call(
            CALL_TIMEOUT,
            |client, cx| async move { client.status(cx).await },
        );
        (*id, call.await.ok())
    });
    let mut parts = future::join_all(calls).await;
    parts.push((keeper.settings.id, Some(local_status(keeper))));
    parts.sort_by_key(|(id, _)| *id);
    let highest = *keeper.subscribe_highest_version().borrow();
    let applied = lock(&keeper.state).version();
    let answered = parts.iter().filter_map(|(_, part)| part.as_ref());
    let served = answered.map(|part| part.config_version);
    let current = served.fold(highest.max(applied), ConfigVersion::max);
    let keepers = parts.iter().map(|(id, part)| KeeperStatus {
        keeper: *id,
        heard: part.is_some(),
        primary: part.as_ref().is_some_and(|p| p.primary),
        config_version: part.as_ref().map_or(ConfigVersion(0), |p| p.config_version),
    });
    StatusReply {
        config_version: current,
        quorum: keeper.log.status().primary.is_some(),
        data_centres: data_centres(keeper, &parts, current),
        keepers: keepers.collect(),
    }
}

fn data_centres(
    keeper: &Keeper,
    parts: &[(shallothill_core::ids::KeeperId, Option<PeerStatus>)],
    current: ConfigVersion,
) -> Vec<DataCentreStatus> {
    let mut nodes: BTreeMap<NodeName, (Zone, Option<ConfigVersion>)> = BTreeMap::new();
    for (node, zone) in lock(&keeper.node_registry).zones() {
        nodes.insert(node, (zone, None));
    }
    for node in parts
        .iter()
        .filter_map(|(_, p)| p.as_ref())
        .flat_map(|p| &p.nodes)
    {
        let entry = nodes
            .entry(node.node.clone())
            .or_insert_with(|| (node.zone.clone(), None));
        entry.1 = entry.1.max(node.config_version);
    }
    let mut by_zone: BTreeMap<Zone, DataCentreStatus> = BTreeMap::new();
    for (node, (zone, version)) in nodes {
        let status = by_zone.entry(zone.clone()).or_insert(DataCentreStatus {
            zone,
            nodes: 0,
            in_force: 0,
            behind: Vec::new(),
        });
        status.nodes += 1;
        if version.is_some_and(|v| v >= current) {
            status.in_force += 1;
        } else {
            status.behind.push(node);
        }
    }
    by_zone.into_values().collect()
}
