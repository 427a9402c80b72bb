//! Nodes with a bound on the age of their configuration that lose contact with keepers.

mod support;

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Method;
use serde_json::{Value, json};
use shallothill_core::class::Class;
use shallothill_core::config::{ApiKey, Caller, Config};
use shallothill_core::ids::{CallerName, KeeperId, RouteName};
use shallothill_core::version::ConfigVersion;
use shallothill_node::settings::Bounds;
use shallothill_testing::behaviour::Behaviour;
use shallothill_testing::http::{Client, Reply};
use shallothill_testing::process;
use shallothill_testing::process::Process;
use shallothill_testing::relay::{Direction, Relay};
use shallothill_testing::standin::Standin;
use support::cluster::RunningNode;
use support::keepers::Keepers;
use support::{MAX_WAIT, cluster, reason};
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time;

/// The bound of the tests on the age of the configuration.
const MAX_AGE: Duration = Duration::from_secs(3);

/// The key that the tests revoke.
const KEY: &str = "key-of-the-desk";

/// A configuration that requires keys, except at `/stock`; `keys` are those of its only caller.
fn config(keys: &[&str]) -> Config {
    let mut cfg = cluster::config();
    let public = RouteName::try_new("stock").unwrap();
    cfg.routes.get_mut(&public).unwrap().public = Some(true);
    let desk = Caller {
        class: Class::Shop,
        requests_per_s: None,
        concurrent: None,
        keys: keys.iter().map(|k| ApiKey::try_new(k).unwrap()).collect(),
        rank: None,
        quota: None,
    };
    Config {
        require_keys: true,
        callers: [(CallerName::try_new("desk").unwrap(), desk)].into(),
        ..cfg
    }
}

async fn send(client: &Client, at: SocketAddr, path: &str) -> Reply {
    let headers = [("x-shallothill-key", KEY)];
    let sent = client.send(Method::GET, at, path, &headers, Bytes::new(), MAX_WAIT);
    sent.await.unwrap()
}

struct Site {
    keepers: Keepers,
    relays: Vec<Relay>,
    node: RunningNode,
    standin: Standin,
    client: Client,
}

impl Site {
    /// Starts a node that reaches each of its keepers through a relay.
    async fn start() -> Self {
        let keepers = Keepers::start(cluster::REGION, config(&[KEY])).await;
        let mut relays = Vec::new();
        let mut addresses = keepers.addresses.clone();
        for keeper in &mut addresses {
            let relay = Relay::start(cluster::any_local_port(), keeper.control_address).await;
            relays.push(relay.unwrap());
            keeper.control_address = relays.last().unwrap().address();
        }
        let bounds = Bounds {
            max_config_age_ms: Some(MAX_AGE.as_millis() as u64),
            ..Bounds::default()
        };
        let node = RunningNode::start("n1", &addresses, bounds).await;
        let standin = cluster::start_standin(&node, "e1", Behaviour::default()).await;
        node.wait_ready(1).await;
        let site = Self {
            keepers,
            relays,
            node,
            standin,
            client: Client::default(),
        };
        site.wait_for_status(200).await;
        site
    }

    async fn send(&self, path: &str) -> Reply {
        send(&self.client, self.node.caller_address(), path).await
    }

    /// Waits until a request with the key gets `status`.
    async fn wait_for_status(&self, status: u16) {
        let matches = || async { self.send("/internal").await.status == status };
        process::wait_until("the status of a request with a key", MAX_WAIT, matches)
            .await
            .unwrap();
    }

    /// Sends requests with the key for two bounds and returns the number of answers and of those
    /// that were refused.
    async fn count_refused(&self) -> (usize, usize) {
        let (sent, refused) = (AtomicUsize::new(0), AtomicUsize::new(0));
        let start = Instant::now();
        let over = || async {
            let reply = self.send("/internal").await;
            sent.fetch_add(1, Ordering::Relaxed);
            refused.fetch_add(usize::from(reply.status != 200), Ordering::Relaxed);
            start.elapsed() > 2 * MAX_AGE
        };
        process::wait_until("the requests are sent", MAX_WAIT, over)
            .await
            .unwrap();
        (sent.into_inner(), refused.into_inner())
    }

    fn link_all(&self, change: fn(&Relay, Direction)) {
        for relay in &self.relays {
            change(relay, Direction::FromTarget);
            change(relay, Direction::ToTarget);
        }
    }
}

/// Guards against a node that is cut off from all keepers and runs requests with a key which was
/// revoked longer than the bound ago, refuses public requests too, or does not recover.
#[tokio::test]
async fn holds_a_node_that_is_cut_off_does_not_run_requests_with_a_revoked_key() {
    let site = Site::start().await;

    site.link_all(Relay::cut);
    site.keepers.shared.set_config(2, config(&[]));
    let revoked = Instant::now();
    process::wait_until("the bound has passed", MAX_WAIT, || async {
        revoked.elapsed() > MAX_AGE
    })
    .await
    .unwrap();

    let ran = site.standin.record().len();
    let reply = site.send("/internal").await;
    let refusal = (reply.status.as_u16(), reason(&reply));
    assert_eq!(refusal, (503, "stale-config"));
    assert_eq!(support::outcome(&reply), "refused-not-run");
    assert!(reply.header("retry-after").is_some());
    assert_eq!(site.standin.record().len(), ran);
    assert_eq!(site.send("/stock").await.status, 200);
    site.link_all(Relay::heal);
    site.wait_for_status(401).await;
}

/// Starts a node process with the bound.
fn start_bounded_process(keepers: &Keepers, dir: &Path) -> Process {
    let file = cluster::write_settings_file("n1", keepers, dir);
    let mut settings: Value = serde_json::from_slice(&fs::read(&file).unwrap()).unwrap();
    settings["bounds"] = json!({"max_config_age_ms": MAX_AGE.as_millis() as u64});
    fs::write(&file, settings.to_string()).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_shallothill-node"));
    command.arg("--settings").arg(&file);
    Process::start(command, &dir.join("n1.log"), MAX_WAIT).unwrap()
}

/// Tells whether all threads of a process are stopped, which a signal brings about with a delay.
fn is_stopped(id: u32) -> bool {
    let threads = fs::read_dir(format!("/proc/{id}/task")).unwrap();
    threads.into_iter().all(|thread| {
        let status = fs::read_to_string(thread.unwrap().path().join("status"));
        status.is_ok_and(|s| s.contains("State:\tT"))
    })
}

/// Guards against a node that was suspended and runs what reached its sockets meanwhile, with the
/// lease that it had before.
#[tokio::test]
async fn holds_a_resumed_node_does_not_run_requests_with_a_revoked_key() {
    let mut keepers = Keepers::start(cluster::REGION, config(&[KEY])).await;
    let dir = TempDir::new().unwrap();
    let node = start_bounded_process(&keepers, dir.path());
    let standin = cluster::start_process_standin(&node, "e1", Behaviour::default()).await;
    let at = node.address("caller").unwrap();
    let served = || async { send(&Client::default(), at, "/internal").await.status == 200 };
    process::wait_until("the node serves", MAX_WAIT, served)
        .await
        .unwrap();

    node.signal("STOP").unwrap();
    process::wait_until("the node is stopped", MAX_WAIT, || async {
        is_stopped(node.id())
    })
    .await
    .unwrap();
    (0..3).for_each(|i| keepers.kill(i));
    let ran = standin.record().len();
    let stopped = Instant::now();
    let sent = tokio::spawn(async move { send(&Client::default(), at, "/internal").await });
    process::wait_until("the bound has passed", MAX_WAIT, || async {
        stopped.elapsed() > MAX_AGE
    })
    .await
    .unwrap();
    assert!(!sent.is_finished());
    node.signal("CONT").unwrap();

    let reply = sent.await.unwrap();
    let refusal = (reply.status.as_u16(), reason(&reply));
    assert_eq!(refusal, (503, "stale-config"));
    assert_eq!(standin.record().len(), ran);
}

/// Guards against a node that refuses requests with keys for a while because its keeper was killed.
#[tokio::test]
async fn a_node_whose_keeper_is_killed_keeps_its_lease() {
    let mut site = Site::start().await;

    site.keepers.kill(0);

    let (sent, refused) = site.count_refused().await;
    assert!(sent > 0);
    assert_eq!(refused, 0, "of {sent}");
}

/// Guards against a node that waits for its silent keeper until the lease is over.
#[tokio::test]
async fn a_node_whose_keeper_is_silent_keeps_its_lease() {
    let site = Site::start().await;

    site.relays[0].cut(Direction::FromTarget);

    let (sent, refused) = site.count_refused().await;
    assert!(sent > 0);
    assert_eq!(refused, 0, "of {sent}");
}

/// Guards against a node that stays without a lease because the keeper that it follows has no primary
/// and confirms nothing.
#[tokio::test]
async fn a_node_whose_keeper_cannot_confirm_asks_the_others() {
    let site = Site::start().await;

    let isolated = &site.keepers.shared.isolated;
    isolated.lock().unwrap().insert(KeeperId(1));

    let (sent, refused) = site.count_refused().await;
    assert!(sent > 0);
    assert_eq!(refused, 0, "of {sent}");
}

/// Guards against a request that runs with a key which was revoked while its body arrived.
#[tokio::test]
async fn holds_a_key_revoked_during_the_body_does_not_run() {
    let site = Site::start().await;
    let ran = site.standin.record().len();
    let at = site.node.caller_address();
    let mut stream = TcpStream::connect(at).await.unwrap();
    let head = format!(
        "PUT /stock/items HTTP/1.1\r\nhost: a\r\nx-shallothill-key: {KEY}\r\n\
         connection: close\r\ncontent-length: 2\r\n\r\na"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    process::wait_until("the request is open", MAX_WAIT, || async {
        site.node.node.entry().open_requests().count() == 1
    })
    .await
    .unwrap();

    site.keepers.shared.set_config(2, config(&[]));
    process::wait_until("version 2 is in force", MAX_WAIT, || async {
        site.node.node.store().version() == ConfigVersion(2)
    })
    .await
    .unwrap();
    stream.write_all(b"b").await.unwrap();

    let mut reply = String::new();
    let read = stream.read_to_string(&mut reply);
    time::timeout(MAX_WAIT, read).await.unwrap().unwrap();
    assert!(reply.starts_with("HTTP/1.1 401"), "{reply}");
    assert_eq!(site.standin.record().len(), ran);
}

/// Guards against a node that keeps a lease from its lagging keeper although others confirm a newer
/// version.
#[tokio::test]
async fn a_node_follows_a_version_that_its_keeper_lacks() {
    let site = Site::start().await;
    let outdated = (KeeperId(1), ConfigVersion(1), config(&[KEY]));
    *site.keepers.shared.outdated.lock().unwrap() = Some(outdated);

    site.keepers.shared.set_config(2, config(&[]));

    site.wait_for_status(401).await;
}
