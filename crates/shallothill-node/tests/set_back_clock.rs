//! A node that starts again after the clock of its host was set back.

mod support;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use shallothill_core::incarnation::Incarnation;
use shallothill_node::settings::Bounds;
use shallothill_testing::behaviour::Behaviour;
use shallothill_testing::process;
use support::cluster::RunningNode;
use support::keepers::Keepers;
use support::{MAX_WAIT, cluster};

/// How far the clock is set back, longer than the test takes.
const SET_BACK: Duration = Duration::from_secs(3600);

/// Guards against a node that no other one uses any more, as the reports of its former process look later
/// than its own.
#[tokio::test]
async fn a_node_is_used_again_after_its_clock_was_set_back() {
    let keepers = Keepers::start(cluster::REGION, cluster::config()).await;
    let entry = RunningNode::start("n2", &keepers.addresses, Bounds::default()).await;
    let former = RunningNode::start("n1", &keepers.addresses, Bounds::default()).await;
    let known_report = || {
        let mut nodes = entry.node.view().nodes().into_iter();
        nodes.find(|(r, _)| r.node.as_str() == "n1").map(|(r, _)| r)
    };
    let is_known = || async { known_report().is_some() };
    let known = process::wait_until("the node is known", MAX_WAIT, is_known);
    known.await.unwrap();
    let mut report = known_report().unwrap();
    drop(former);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    report.incarnation = Incarnation((now + SET_BACK).as_millis() as u64);
    keepers.report(report);

    let node = RunningNode::start("n1", &keepers.addresses, Bounds::default()).await;
    let _standin = cluster::start_standin(&node, "e1", Behaviour::default()).await;

    let address = node.node.addresses().peer;
    let is_used = || async { known_report().is_some_and(|r| r.peer_address == address) };
    let used = process::wait_until("the other node uses it", MAX_WAIT, is_used);
    used.await.unwrap();
}
