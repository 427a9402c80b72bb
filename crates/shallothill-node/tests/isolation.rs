//! Nodes that find keepers through seeds, while keepers are cut off from each other.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use shallothill_core::ids::KeeperId;
use shallothill_core::version::ConfigVersion;
use shallothill_testing::process;
use support::cluster::RunningNode;
use support::keepers::Keepers;
use support::{LONG, cluster};

async fn node(keepers: &Keepers) -> RunningNode {
    let seeds = (0..3).map(|i| keepers.address(i)).collect();
    let node = RunningNode::start_with_seeds("n1", seeds).await;
    process::wait_until("the node serves", LONG, || async {
        node.node.entry().serving()
    })
    .await
    .unwrap();
    node
}

/// Guards against a node that stays behind with a keeper that is cut off from the others.
#[tokio::test]
async fn leaves_an_isolated_keeper() {
    let keepers = Keepers::start(cluster::REGION, cluster::config()).await;
    let node = node(&keepers).await;
    let behind = (KeeperId(1), ConfigVersion(1), cluster::config());
    *keepers.shared.behind.lock().unwrap() = Some(behind);
    keepers.shared.set_config(2, cluster::config());

    keepers.shared.isolated.lock().unwrap().insert(KeeperId(1));

    let in_force = || async { node.node.store().version() == ConfigVersion(2) };
    process::wait_until("version 2 is in force", LONG, in_force)
        .await
        .unwrap();
}

/// Guards against nodes that fetch the whole directory again and again while no keeper hears a
/// primary, such as during an election.
#[tokio::test]
async fn stays_while_all_keepers_are_isolated() {
    let keepers = Keepers::start(cluster::REGION, cluster::config()).await;
    let node = node(&keepers).await;
    let before = keepers.shared.first_watches.load(Ordering::Relaxed);

    let all = [KeeperId(1), KeeperId(2), KeeperId(3)];
    keepers.shared.isolated.lock().unwrap().extend(all);
    // Long enough for several rounds over the keepers, each of which brought the directory.
    tokio::time::sleep(Duration::from_secs(2)).await;

    let after = keepers.shared.first_watches.load(Ordering::Relaxed);
    assert_eq!(after, before);
    assert!(node.node.entry().serving());
}

/// Guards against a node that is held at an old version by a keeper that restarted behind a cut and
/// knows no other keeper.
#[tokio::test]
async fn an_isolated_keeper_that_knows_no_other_holds_nobody() {
    let keepers = Keepers::start(cluster::REGION, cluster::config()).await;
    let behind = (KeeperId(1), ConfigVersion(1), cluster::config());
    *keepers.shared.behind.lock().unwrap() = Some(behind);
    keepers.shared.alone.lock().unwrap().insert(KeeperId(1));
    keepers.shared.isolated.lock().unwrap().insert(KeeperId(1));
    keepers.shared.set_config(2, cluster::config());
    let node = RunningNode::start_with_seeds("n1", vec![keepers.address(0)]).await;
    process::wait_until("the node acts on the old version", LONG, || async {
        node.node.store().version() == ConfigVersion(1)
    })
    .await
    .unwrap();

    let seeds = (0..3).map(|i| keepers.address(i)).collect();
    node.node.keepers().set_seeds(seeds);

    let in_force = || async { node.node.store().version() == ConfigVersion(2) };
    process::wait_until("version 2 is in force", LONG, in_force)
        .await
        .unwrap();
}
