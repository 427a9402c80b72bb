//! Runs a group of keepers on loopback addresses.

#![allow(dead_code)]

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde::de::DeserializeOwned;
use shallothill_core::config::Config;
use shallothill_core::ids::{DataCentre, KeeperId, NodeName, Region, Zone};
use shallothill_core::incarnation::Incarnation;
use shallothill_core::version::ConfigVersion;
use shallothill_directory::NodeReport;
use shallothill_keeper::errors;
use shallothill_keeper::keeper::Keeper;
use shallothill_keeper::listeners::Listeners;
use shallothill_keeper::process::{Process, StartOptions};
use shallothill_keeper::settings::{KeeperSettings, LogTimes, QuotaTolerance, Settings};
use shallothill_runtime::settings::Common;
use shallothill_testing::builders::ConfigBuilder;
use shallothill_testing::http::Client;
use shallothill_testing::relay::Relay;
use shallothill_testing::{ports, process};
use shallothill_wire::channel::RpcChannel;
use shallothill_wire::control::KeeperControlClient;
use shallothill_wire::operator::{StatusReply, SubmitReply, SubmitRequest};
use shallothill_wire::report::ReportRequest;
use tempfile::TempDir;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Long enough for a busy host; no check depends on how much of it passes.
pub const DEADLINE: Duration = Duration::from_secs(30);

pub struct RunningKeeper {
    pub keeper: Arc<Keeper>,
    stop: CancellationToken,
    task: JoinHandle<errors::Result<()>>,
}

impl RunningKeeper {
    /// Waits until the keeper has ended without a request to stop.
    pub async fn wait_until_ended(self) -> errors::Result<()> {
        tokio::time::timeout(DEADLINE, self.task)
            .await
            .unwrap()
            .unwrap()
    }
}

pub struct Group {
    pub settings: Vec<Settings>,
    pub running: Vec<Option<RunningKeeper>>,
    pub client: Client,
    pub dir: TempDir,
}

impl Group {
    /// Starts a new group of `n` keepers in one region and waits for its primary.
    pub async fn start(n: usize) -> Self {
        let mut group = Self::prepare(n);
        group.start_all().await;
        group
    }

    /// Starts all keepers of a new group and waits for its primary.
    pub async fn start_all(&mut self) {
        for i in 0..self.settings.len() {
            self.start_one(i, true).await;
        }
        for i in 0..self.settings.len() {
            self.wait_quorum(i).await;
        }
    }

    /// Puts a relay on the link from each keeper to each other one; call it before the start.
    pub async fn relay_peer_links(&mut self) -> Vec<Relay> {
        let mut relays = Vec::new();
        for settings in &mut self.settings {
            let me = settings.id;
            for other in settings.keepers.iter_mut().filter(|k| k.id != me) {
                let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
                let relay = Relay::start(any, other.peer_address).await.unwrap();
                other.peer_address = relay.address();
                relays.push(relay);
            }
        }
        relays
    }

    pub fn prepare(n: usize) -> Self {
        let dir = TempDir::new().unwrap();
        let addresses = ports::free(IpAddr::V4(Ipv4Addr::LOCALHOST), 3 * n).unwrap();
        let region = Region::try_new("central").unwrap();
        let data_centre = DataCentre::try_new("central-1").unwrap();
        let keepers: Vec<KeeperSettings> = (0..n)
            .map(|i| KeeperSettings {
                id: KeeperId(i as u32 + 1),
                region: region.clone(),
                data_centre: data_centre.clone(),
                control_address: addresses[3 * i],
                peer_address: addresses[3 * i + 1],
            })
            .collect();
        let settings = keepers.iter().enumerate().map(|(i, k)| Settings {
            id: k.id,
            region: region.clone(),
            data_centre: data_centre.clone(),
            data_dir: dir.path().join(k.id.to_string()),
            control_address: k.control_address,
            peer_address: k.peer_address,
            process: Common {
                log_level: log::LevelFilter::Info,
                admin_address: addresses[3 * i + 2],
                metrics_address: None,
                metrics_every: 10,
            },
            regions: vec![region.clone()],
            seeds: Vec::new(),
            tolerated_losses: 0,
            log: LogTimes::default(),
            quotas: QuotaTolerance::default(),
            keepers: keepers.clone(),
        });
        Self {
            settings: settings.collect(),
            running: (0..n).map(|_| None).collect(),
            client: Client::default(),
            dir,
        }
    }

    /// Starts keeper `i`; retries until a former run of it has closed its files.
    pub async fn start_one(&mut self, i: usize, new_group: bool) {
        let settings = &self.settings[i];
        let end = tokio::time::Instant::now() + DEADLINE;
        let process = loop {
            let listeners = Listeners::bind(settings).await;
            let options = StartOptions { new_group };
            let started = match listeners {
                Ok(listeners) => Process::start(settings.clone(), listeners, options).await,
                Err(e) => Err(e),
            };
            match started {
                Ok(process) => break process,
                Err(e) if tokio::time::Instant::now() > end => panic!("{e}"),
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        };
        let stop = CancellationToken::new();
        let keeper = Arc::clone(process.keeper());
        let task = tokio::spawn(process.run(stop.clone()));
        self.running[i] = Some(RunningKeeper { keeper, stop, task });
    }

    pub async fn stop_one(&mut self, i: usize) {
        let running = self.running[i].take().unwrap();
        running.stop.cancel();
        drop(running.keeper);
        running.task.await.unwrap().unwrap();
    }

    pub fn keeper(&self, i: usize) -> &Arc<Keeper> {
        &self.running[i].as_ref().unwrap().keeper
    }

    /// Returns the index of the running keeper that considers itself the primary.
    pub async fn primary(&self) -> usize {
        let find = || {
            (0..self.settings.len()).find(|i| {
                let running = self.running[*i].as_ref();
                running.is_some_and(|r| r.keeper.log.status().primary == Some(self.settings[*i].id))
            })
        };
        wait("a primary", || find().is_some()).await;
        find().unwrap()
    }

    pub async fn wait_quorum(&self, i: usize) {
        let keeper = self.keeper(i);
        let ready = || {
            let status = keeper.log.status();
            !status.forming && status.primary.is_some()
        };
        wait("a quorum", ready).await;
    }

    pub fn control(&self, i: usize) -> RpcChannel<KeeperControlClient> {
        RpcChannel::new(self.settings[i].control_address)
    }

    pub fn admin(&self, i: usize) -> SocketAddr {
        self.settings[i].process.admin_address
    }

    pub async fn send(
        &self,
        i: usize,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> (StatusCode, Bytes) {
        let body = Bytes::from(body);
        let sent = self
            .client
            .send(method, self.admin(i), path, &[], body, DEADLINE);
        let reply = sent.await.unwrap();
        (reply.status, reply.body)
    }

    pub async fn get<T: DeserializeOwned>(&self, i: usize, path: &str) -> T {
        let (status, body) = self.send(i, Method::GET, path, Vec::new()).await;
        assert_eq!(status, StatusCode::OK, "{path}");
        rmp_serde::from_slice(&body).unwrap()
    }

    pub async fn submit(&self, i: usize, base: u64, id: &str, text: &str) -> SubmitReply {
        let req = SubmitRequest {
            base: ConfigVersion(base),
            change_id: id.to_owned(),
            operator: "op".to_owned(),
            text: text.to_owned(),
            labels: None,
        };
        let body = rmp_serde::to_vec_named(&req).unwrap();
        let (status, body) = self.send(i, Method::POST, "/config/submit", body).await;
        assert_eq!(status, StatusCode::OK);
        rmp_serde::from_slice(&body).unwrap()
    }

    /// Submits, and resends as an operator does while no quorum answers.
    pub async fn submit_until_answered(
        &self,
        i: usize,
        base: u64,
        id: &str,
        text: &str,
    ) -> SubmitReply {
        let end = tokio::time::Instant::now() + DEADLINE;
        loop {
            match self.submit(i, base, id, text).await {
                SubmitReply::Unavailable { reason } => {
                    assert!(tokio::time::Instant::now() < end, "{reason}");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
                reply => return reply,
            }
        }
    }

    pub async fn status(&self, i: usize) -> StatusReply {
        self.get(i, "/status").await
    }
}

pub async fn wait(what: &str, mut condition: impl FnMut() -> bool) {
    let waited = process::wait_until(what, DEADLINE, || {
        let holds = condition();
        async move { holds }
    });
    waited.await.unwrap();
}

/// Returns a valid text with `callers` callers; texts with different `mark`s differ in one section.
pub fn text(callers: usize, mark: u32) -> String {
    let fields = serde_json::json!({"floor": 0, "slots": mark + 1});
    let mut builder = ConfigBuilder::new(&["central"]).service("rulings", fields);
    for n in 0..callers {
        builder = builder.caller(&format!("editor-{n}"), "editor");
    }
    builder.build()
}

pub fn text_with_floor(floor: u32) -> String {
    let fields = serde_json::json!({"floor": floor});
    let builder = ConfigBuilder::new(&["central"]).service("rulings", fields);
    builder.build()
}

pub fn config(text: &str) -> Config {
    shallothill_config::parse(text).unwrap()
}

pub fn zone() -> Zone {
    Zone {
        region: Region::try_new("central").unwrap(),
        data_centre: DataCentre::try_new("central-1").unwrap(),
    }
}

pub fn report(node: &str, version: u64) -> ReportRequest {
    ReportRequest {
        report: NodeReport {
            node: NodeName::try_new(node).unwrap(),
            zone: zone(),
            peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
            incarnation: Incarnation(1),
            sequence: 1,
            endpoints: Vec::new(),
        },
        loads: Vec::new(),
        crashes: Vec::new(),
        config_version: ConfigVersion(version),
        leaving: false,
    }
}
