//! Nodes that discover keepers through seeds, while keepers are isolated from each other.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use shallothill_core::ids::KeeperId;
use shallothill_core::version::ConfigVersion;
use shallothill_testing::process;
use support::cluster::RunningNode;
use support::keepers::Keepers;
use support::{MAX_WAIT, cluster};

async fn start_node(keepers: &Keepers) -> RunningNode {
    let seeds = (0..3).map(|i| keepers.address(i)).collect();
    let node = RunningNode::start_with_seeds("n1", seeds).await;
    process::wait_until("the node serves", MAX_WAIT, || async {
        node.node.entry().serving()
    })
    .await
    .unwrap();
    node
}

/// Guards against a node that keeps an old version by following a keeper that is isolated from the
/// others.
#[tokio::test]
async fn leaves_an_isolated_keeper() {
    let keepers = Keepers::start(cluster::REGION, cluster::config()).await;
    let node = start_node(&keepers).await;
    let outdated = (KeeperId(1), ConfigVersion(1), cluster::config());
    *keepers.shared.outdated.lock().unwrap() = Some(outdated);
    keepers.shared.set_config(2, cluster::config());

    keepers.shared.isolated.lock().unwrap().insert(KeeperId(1));

    let in_force = || async { node.node.store().version() == ConfigVersion(2) };
    process::wait_until("version 2 is in force", MAX_WAIT, in_force)
        .await
        .unwrap();
}

/// Guards against nodes that fetch the complete directory repeatedly while no keeper is in contact
/// with a primary, such as during an election.
#[tokio::test]
async fn keeps_its_keeper_while_all_are_isolated() {
    let keepers = Keepers::start(cluster::REGION, cluster::config()).await;
    let node = start_node(&keepers).await;
    let before = keepers.shared.initial_watches.load(Ordering::Relaxed);

    let all = [KeeperId(1), KeeperId(2), KeeperId(3)];
    keepers.shared.isolated.lock().unwrap().extend(all);
    // Long enough for several rounds over the keepers; each change of keeper fetches the directory.
    tokio::time::sleep(Duration::from_secs(2)).await;

    let after = keepers.shared.initial_watches.load(Ordering::Relaxed);
    assert_eq!(after, before);
    assert!(node.node.entry().serving());
}

/// Guards against a node that stays at an old version because it follows a keeper that restarted
/// while isolated and knows no other keeper.
#[tokio::test]
async fn leaves_an_isolated_keeper_that_knows_no_other() {
    let keepers = Keepers::start(cluster::REGION, cluster::config()).await;
    let outdated = (KeeperId(1), ConfigVersion(1), cluster::config());
    *keepers.shared.outdated.lock().unwrap() = Some(outdated);
    keepers
        .shared
        .without_peers
        .lock()
        .unwrap()
        .insert(KeeperId(1));
    keepers.shared.isolated.lock().unwrap().insert(KeeperId(1));
    keepers.shared.set_config(2, cluster::config());
    let node = RunningNode::start_with_seeds("n1", vec![keepers.address(0)]).await;
    process::wait_until("the node acts on the old version", MAX_WAIT, || async {
        node.node.store().version() == ConfigVersion(1)
    })
    .await
    .unwrap();

    let seeds = (0..3).map(|i| keepers.address(i)).collect();
    node.node.keepers().set_seeds(seeds);

    let in_force = || async { node.node.store().version() == ConfigVersion(2) };
    process::wait_until("version 2 is in force", MAX_WAIT, in_force)
        .await
        .unwrap();
}
