//! Connections to keepers that go silent for good while new ones work.

mod support;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use shallothill_core::version::ConfigVersion;
use shallothill_testing::process;
use shallothill_testing::relay::{Direction, Relay};
use shallothill_wire::channel::RpcChannel;
use shallothill_wire::control::KeeperControlClient;
use support::cluster::RunningNode;
use support::keepers::Keepers;
use support::{MAX_WAIT, cluster};
use tokio::time;

/// The time after a failure by which every node acts on an accepted configuration.
const IN_FORCE_AFTER: Duration = Duration::from_secs(3);

/// Longer than the steps of a test take between a call and its reply.
const LONG_REPLY_DELAY: Duration = Duration::from_millis(300);

/// Longer than a connection without replies is used.
const IDLE: Duration = Duration::from_millis(3200);

/// The deadline of a call that a keeper answers at once.
const SHORT: Duration = Duration::from_millis(500);

/// Starts a relay in front of each keeper; nodes know only the addresses of the relays.
async fn start_relays(keepers: &Keepers) -> Vec<Relay> {
    let mut relays = Vec::new();
    for i in 0..3 {
        let target = keepers.address(i);
        let relay = Relay::start(cluster::any_local_port(), target).await;
        relays.push(relay.unwrap());
    }
    keepers.advertise(relays.iter().map(Relay::address));
    relays
}

async fn start_node(relays: &[Relay]) -> RunningNode {
    let seeds = relays.iter().map(Relay::address).collect();
    let node = RunningNode::start_with_seeds("n1", seeds).await;
    process::wait_until("the node serves", MAX_WAIT, || async {
        node.node.store().version() == ConfigVersion(1) && node.node.keepers().all().len() == 3
    })
    .await
    .unwrap();
    node
}

/// Starts a node whose keepers all stand behind relays.
async fn start_behind_relays() -> (Keepers, Vec<Relay>, RunningNode) {
    let keepers = Keepers::start(cluster::REGION, cluster::config()).await;
    let relays = start_relays(&keepers).await;
    let node = start_node(&relays).await;
    (keepers, relays, node)
}

async fn wait_for_version(node: &RunningNode, version: u64, limit: Duration) {
    let in_force = || async { node.node.store().version() == ConfigVersion(version) };
    process::wait_until("the new version is in force", limit, in_force)
        .await
        .unwrap();
}

/// Guards against a node that acts on an old version while it waits on silent connections, one
/// keeper after the other.
#[tokio::test]
async fn a_new_version_is_in_force_soon_after_all_connections_went_silent() {
    let (keepers, relays, node) = start_behind_relays().await;

    relays.iter().for_each(Relay::sever);
    keepers.shared.set_config(2, cluster::config());

    wait_for_version(&node, 2, IN_FORCE_AFTER).await;
}

/// Guards against a node that waits for keepers that are gone in turn, each for the whole timeout.
#[tokio::test]
async fn a_new_version_is_in_force_soon_after_two_keepers_fell_silent() {
    let (keepers, relays, node) = start_behind_relays().await;

    // New connections are accepted, as by a suspended process, but nothing is answered.
    for relay in &relays[..2] {
        relay.cut(Direction::FromTarget);
    }
    keepers.shared.set_config(2, cluster::config());

    wait_for_version(&node, 2, IN_FORCE_AFTER).await;
}

/// Delays long replies, so that the connections can go silent before them.
fn delay_long_replies(keepers: &Keepers) {
    let ms = LONG_REPLY_DELAY.as_millis() as u64;
    let delay = &keepers.shared.long_reply_delay_ms;
    delay.store(ms, Ordering::Relaxed);
}

async fn wait_for_call(calls: &AtomicUsize, before: usize) {
    let called = || async { calls.load(Ordering::Relaxed) > before };
    process::wait_until("a keeper is called", MAX_WAIT, called)
        .await
        .unwrap();
}

/// Guards against a node that acts on an old version while it waits for the rest of the new one on a
/// connection that has just gone silent.
#[tokio::test]
async fn a_new_version_is_in_force_soon_after_connections_went_silent_before_its_sections() {
    let (keepers, relays, node) = start_behind_relays().await;
    let calls = &keepers.shared.section_calls;
    let before = calls.load(Ordering::Relaxed);
    delay_long_replies(&keepers);

    keepers
        .shared
        .set_config(2, cluster::config_with_deadline(9));
    wait_for_call(calls, before).await;
    relays.iter().for_each(Relay::sever);

    wait_for_version(&node, 2, IN_FORCE_AFTER).await;
}

/// Guards against a node that acts on an old version while it waits for the directory of the keeper
/// that it has moved to, on a connection that has just gone silent.
#[tokio::test]
async fn a_new_version_is_in_force_soon_after_connections_went_silent_before_the_directory() {
    let (mut keepers, relays, node) = start_behind_relays().await;
    delay_long_replies(&keepers);

    keepers.kill(0);
    let calls = &keepers.shared.initial_watches;
    wait_for_call(calls, calls.load(Ordering::Relaxed)).await;
    relays.iter().for_each(Relay::sever);
    keepers.shared.set_config(2, cluster::config());

    wait_for_version(&node, 2, IN_FORCE_AFTER).await;
}

/// Guards against calls that wait until their deadline on a connection that went silent while it was
/// idle.
#[tokio::test]
async fn a_call_after_an_idle_time_uses_a_new_connection() {
    let keepers = Keepers::start(cluster::REGION, cluster::config()).await;
    let relays = start_relays(&keepers).await;
    let address = relays[0].address();
    let channel: RpcChannel<KeeperControlClient> = RpcChannel::new(address);
    let ask = || channel.call(SHORT, |c, cx| async move { c.isolated(cx).await });
    assert!(ask().await.is_ok());

    time::sleep(IDLE).await;
    relays[0].sever();

    assert!(ask().await.is_ok());
}
