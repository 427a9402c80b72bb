//! Nodes with stand-in backend servers.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use shallothill_core::class::Class;
use shallothill_core::config::{
    BodyMode, Caller, Config, Disposition, Floor, OncePer, Route, Service, Target,
};
use shallothill_core::ids::{
    CallerName, DataCentre, KeeperId, NodeName, Region, RouteName, ServiceName,
};
use shallothill_core::incarnation::Incarnation;
use shallothill_directory::{Cursor, Delta, DirectoryChange, Liveness, NodeReport};
use shallothill_node::interface::HttpInterface;
use shallothill_node::node::Node;
use shallothill_node::settings::{Bounds, KeeperAddress, Settings};
use shallothill_runtime::settings::Common;
use shallothill_testing::behaviour::Behaviour;
use shallothill_testing::options::StandinOptions;
use shallothill_testing::process;
use shallothill_testing::process::Process;
use shallothill_testing::standin::Standin;
use tokio_util::sync::{CancellationToken, DropGuard};

use super::MAX_WAIT;
use super::keepers::Keepers;

pub const REGION: &str = "north";

pub fn service() -> Service {
    Service {
        depends_on: Vec::new(),
        slots: Some(5),
        connections: 300,
        queue: 10,
        floor: Floor::Total(1),
        disposition: Disposition::CAUTIOUS,
        expected_latency: Duration::from_millis(5),
        slow_after: None,
        cold_start_requests: 5,
        gray_percent: 0,
        retry_budget_percent: 100,
        retry_budget_saved: None,
        max_attempts: 3,
        hedge_after: None,
        cross_region_bytes_per_s: None,
        health_path: None,
    }
}

pub fn route(path: &str, method: &str, idempotent: bool) -> Route {
    Route {
        target: Target::from(ServiceName::try_new("courier").unwrap()),
        host: None,
        methods: vec![method.to_owned()],
        path: path.to_owned(),
        below: false,
        idempotent,
        once_per: OncePer::Key,
        class: Class::Shop,
        rank: Some(0),
        deadline: Duration::from_secs(10),
        objective: None,
        attempts: None,
        max_body_bytes: 1024 * 1024,
        body: BodyMode::Buffered,
        public: Some(false),
    }
}

/// A configuration of one service, `courier`, with idempotent and non-idempotent routes.
pub fn config() -> Config {
    let mut internal = route("/internal", "GET", true);
    internal.class = Class::Internal;
    let routes = [
        ("stock", route("/stock", "GET", true)),
        ("put", route("/stock/items", "PUT", true)),
        ("book", route("/book", "POST", false)),
        ("internal", internal),
    ];
    let limited = Caller {
        class: Class::Shop,
        requests_per_s: Some(1),
        concurrent: None,
        keys: Vec::new(),
        rank: None,
        quota: None,
    };
    Config {
        regions: vec![Region::try_new(REGION).unwrap()],
        limits: None,
        require_keys: false,
        services: BTreeMap::from([(ServiceName::try_new("courier").unwrap(), service())]),
        routes: routes
            .into_iter()
            .map(|(n, r)| (RouteName::try_new(n).unwrap(), r))
            .collect(),
        callers: BTreeMap::from([(CallerName::try_new("limited").unwrap(), limited)]),
    }
}

/// [`config`] with another deadline of the routes, in seconds, so that a section differs.
pub fn config_with_deadline(seconds: u64) -> Config {
    let mut cfg = config();
    for route in cfg.routes.values_mut() {
        route.deadline = Duration::from_secs(seconds);
    }
    cfg
}

pub fn any_local_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub fn settings(name: &str, keepers: &[KeeperAddress], bounds: Bounds) -> Settings {
    Settings {
        host_service: None,
        seeds: Vec::new(),
        node: NodeName::try_new(name).unwrap(),
        region: Region::try_new(REGION).unwrap(),
        data_centre: DataCentre::try_new("north-1").unwrap(),
        caller_address: any_local_port(),
        peer_address: any_local_port(),
        announce_address: any_local_port(),
        process: Common {
            log_level: log::LevelFilter::Off,
            admin_address: any_local_port(),
            metrics_address: None,
            metrics_every: 10,
        },
        regions: vec![Region::try_new(REGION).unwrap()],
        keepers: keepers.to_vec(),
        bounds,
    }
}

pub struct RunningNode {
    pub node: Arc<Node>,
    pub stop: CancellationToken,
    _guard: DropGuard,
}

impl RunningNode {
    pub async fn start(name: &str, keepers: &[KeeperAddress], bounds: Bounds) -> Self {
        let stop = CancellationToken::new();
        let settings = settings(name, keepers, bounds);
        let node = Node::start(settings, stop.clone()).await.unwrap();
        Self {
            node,
            stop: stop.clone(),
            _guard: stop.drop_guard(),
        }
    }

    /// Starts a node whose callers and backend servers speak `interface`.
    pub async fn start_with_interface(
        name: &str,
        keepers: &[KeeperAddress],
        interface: HttpInterface,
    ) -> Self {
        let stop = CancellationToken::new();
        let settings = settings(name, keepers, Bounds::default());
        let node = Node::start_with_interface(settings, interface, stop.clone());
        Self {
            node: node.await.unwrap(),
            stop: stop.clone(),
            _guard: stop.drop_guard(),
        }
    }

    /// Starts a node that discovers keepers through seeds instead of a fixed list.
    pub async fn start_with_seeds(name: &str, seeds: Vec<SocketAddr>) -> Self {
        let stop = CancellationToken::new();
        let settings = Settings {
            seeds,
            ..settings(name, &[], Bounds::default())
        };
        let node = Node::start(settings, stop.clone()).await.unwrap();
        Self {
            node,
            stop: stop.clone(),
            _guard: stop.drop_guard(),
        }
    }

    pub fn caller_address(&self) -> SocketAddr {
        self.node.addresses().caller
    }

    pub async fn wait_ready(&self, endpoints: usize) {
        let name = ServiceName::try_new("courier").unwrap();
        let known = || {
            let tables = self.node.view().tables();
            tables.service(&name).map_or(0, |t| t.endpoints().len())
        };
        process::wait_until("the node serves", MAX_WAIT, || async {
            self.node.entry().serving() && known() == endpoints
        })
        .await
        .unwrap();
    }
}

pub async fn start_standin(node: &RunningNode, name: &str, behaviour: Behaviour) -> Standin {
    let options = StandinOptions {
        announce: Some(node.node.addresses().announce),
        service: "courier".to_owned(),
        endpoint: name.to_owned(),
        behaviour,
        ..StandinOptions::default()
    };
    Standin::start(options).await.unwrap()
}

/// An entry node without backend servers and a gate with one, with their keepers.
pub struct TwoNodes {
    pub keepers: Keepers,
    pub entry: RunningNode,
    pub gate: RunningNode,
    pub standin: Standin,
}

pub async fn start_two_nodes(cfg: Config, behaviour: Behaviour) -> TwoNodes {
    let keepers = Keepers::start(REGION, cfg).await;
    let entry = RunningNode::start("n1", &keepers.addresses, Bounds::default()).await;
    let gate = RunningNode::start("n2", &keepers.addresses, Bounds::default()).await;
    let standin = start_standin(&gate, "e1", behaviour).await;
    entry.wait_ready(1).await;
    gate.wait_ready(1).await;
    TwoNodes {
        keepers,
        entry,
        gate,
        standin,
    }
}

/// Writes a settings file for a node process that listens on free ports.
pub fn write_settings_file(name: &str, keepers: &Keepers, dir: &Path) -> PathBuf {
    let addresses: Vec<_> = keepers
        .addresses
        .iter()
        .map(|k| {
            json!({
                "id": k.id, "region": k.region, "data_centre": k.data_centre,
                "control_address": k.control_address,
            })
        })
        .collect();
    let any = any_local_port();
    let settings = json!({
        "node": name, "region": REGION, "data_centre": "north-1",
        "caller_address": any, "peer_address": any, "announce_address": any,
        "process": {"admin_address": any}, "regions": [REGION], "keepers": addresses,
    });
    let file = dir.join(format!("{name}.yaml"));
    fs::write(&file, settings.to_string()).unwrap();
    file
}

pub fn start_node_process(name: &str, keepers: &Keepers, dir: &Path) -> Process {
    let file = write_settings_file(name, keepers, dir);
    let mut command = Command::new(env!("CARGO_BIN_EXE_shallothill-node"));
    command.arg("--settings").arg(&file);
    Process::start(command, &dir.join(format!("{name}.log")), MAX_WAIT).unwrap()
}

pub async fn start_process_standin(node: &Process, name: &str, behaviour: Behaviour) -> Standin {
    let options = StandinOptions {
        announce: node.address("announce"),
        service: "courier".to_owned(),
        endpoint: name.to_owned(),
        behaviour,
        ..StandinOptions::default()
    };
    Standin::start(options).await.unwrap()
}

/// Replaces the address of gate `n2` in the directory of `entry` by `peer_address`.
pub fn redirect_gate(entry: &RunningNode, peer_address: SocketAddr) {
    let nodes = entry.node.view().nodes();
    let (known, _) = nodes
        .into_iter()
        .find(|(r, _)| r.node.as_str() == "n2")
        .unwrap();
    let report = NodeReport {
        peer_address,
        sequence: u64::MAX,
        ..known
    };
    let via = KeeperId(1);
    let cursor = Cursor {
        keeper: via,
        incarnation: Incarnation(1),
        change: 0,
    };
    let liveness = Liveness::Reporting;
    entry.node.view().apply(Delta {
        full: false,
        changes: vec![DirectoryChange::Present {
            report,
            via,
            liveness,
        }],
        cursor,
    });
}
