//! A group of real keepers that run in the process of the test.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;

use shallothill_core::ids::{DataCentre, KeeperId, Region};
use shallothill_core::version::ConfigVersion;
use shallothill_keeper::keeper::Keeper;
use shallothill_keeper::listeners::Listeners;
use shallothill_keeper::process::{Process, StartOptions};
use shallothill_keeper::settings::{KeeperSettings, LogTimes, QuotaTolerance, Settings};
use shallothill_keeper::submit;
use shallothill_node::settings::KeeperAddress;
use shallothill_runtime::settings::Common;
use shallothill_testing::{ports, process};
use shallothill_wire::operator::{SubmitReply, SubmitRequest};
use tempfile::TempDir;
use tokio_util::sync::{CancellationToken, DropGuard};

use super::MAX_WAIT;
use super::cluster::REGION;

struct RunningKeeper {
    keeper: Arc<Keeper>,
    _guard: DropGuard,
}

pub struct RealKeepers {
    pub addresses: Vec<KeeperAddress>,
    running: Vec<Option<RunningKeeper>>,
    _dir: TempDir,
}

impl RealKeepers {
    /// Starts a group of `n` keepers that accepts `text` as its first configuration.
    pub async fn start(n: usize, text: &str) -> Self {
        let dir = TempDir::new().unwrap();
        let all = settings(n, &dir);
        let mut keepers = Self {
            addresses: Vec::new(),
            running: Vec::new(),
            _dir: dir,
        };
        for settings in all {
            keepers.addresses.push(KeeperAddress {
                id: settings.id,
                region: settings.region.clone(),
                data_centre: settings.data_centre.clone(),
                control_address: settings.control_address,
            });
            let listeners = Listeners::bind(&settings).await.unwrap();
            let options = StartOptions { new_group: true };
            let process = Process::start(settings, listeners, options).await.unwrap();
            let keeper = Arc::clone(process.keeper());
            let stop = CancellationToken::new();
            tokio::spawn(process.run(stop.clone()));
            keepers.running.push(Some(RunningKeeper {
                keeper,
                _guard: stop.drop_guard(),
            }));
        }
        keepers.submit(0, "c1", text).await;
        keepers
    }

    /// Submits a text through the first keeper that runs.
    pub async fn submit(&self, base: u64, id: &str, text: &str) {
        let keeper = &self.running.iter().flatten().next().unwrap().keeper;
        let accepted = || async {
            let req = SubmitRequest {
                base: ConfigVersion(base),
                change_id: id.to_owned(),
                operator: "op".to_owned(),
                text: text.to_owned(),
                labels: None,
            };
            match submit::submit(keeper, req, true).await {
                SubmitReply::Accepted { .. } => true,
                SubmitReply::Unavailable { .. } => false,
                other => panic!("{other:?}"),
            }
        };
        process::wait_until("the configuration is accepted", MAX_WAIT, accepted)
            .await
            .unwrap();
    }

    /// Returns the index of the keeper that all running ones take for the primary.
    pub async fn primary(&self) -> usize {
        let find = || {
            let statuses = self.running.iter().flatten();
            let mut primaries: Vec<_> = statuses.map(|r| r.keeper.log.status().primary).collect();
            primaries.dedup();
            let [Some(primary)] = primaries[..] else {
                return None;
            };
            self.addresses.iter().position(|a| a.id == primary)
        };
        let agreed = || async { find().is_some_and(|i| self.running[i].is_some()) };
        process::wait_until("a primary", MAX_WAIT, agreed)
            .await
            .unwrap();
        find().unwrap()
    }

    /// Ends keeper `i` at once, with its connections.
    pub fn kill(&mut self, i: usize) {
        self.running[i] = None;
    }
}

fn settings(n: usize, dir: &TempDir) -> Vec<Settings> {
    let addresses = ports::free(IpAddr::V4(Ipv4Addr::LOCALHOST), 3 * n).unwrap();
    let region = Region::try_new(REGION).unwrap();
    let data_centre = DataCentre::try_new("north-1").unwrap();
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
            log_level: log::LevelFilter::Off,
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
    settings.collect()
}
