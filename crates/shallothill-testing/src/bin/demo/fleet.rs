//! Starts, kills and ends the processes of one deployment.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use serde_json::json;
use shallothill_testing::builders::{KeeperPlace, NodePlace, keeper_settings, node_settings};
use shallothill_testing::ports;
use shallothill_testing::process::Process;
use shallothill_testing::record::{Record, RecordedRequest};

use crate::Failure;
use crate::deployment::Deployment;
use crate::scenario::Paths;

/// `READY` bounds the start of a process while all start at the same time.
const READY: Duration = Duration::from_secs(15);

/// `END` bounds the planned stop of a process.
const END: Duration = Duration::from_secs(10);

/// `DATA_CENTRES` have one and a half keepers and six nodes each.
const DATA_CENTRES: usize = 6;
const NODES_PER_DATA_CENTRE: usize = 6;
const KEEPERS_PER_REGION: usize = 3;

/// `WORKER_THREADS` keeps about 80 processes from starting 80 threads for every core.
const WORKER_THREADS: &str = "2";

/// `Keeper` is one keeper process.
pub(crate) struct Keeper {
    pub(crate) place: KeeperPlace,
    pub(crate) admin: SocketAddr,
    pub(crate) process: Option<Process>,
}

/// `Host` is one backend server host: a node and a stand-in backend server.
pub(crate) struct Host {
    pub(crate) place: NodePlace,
    pub(crate) node: Option<Process>,
    pub(crate) standin: Option<Process>,
    pub(crate) service: &'static str,
    pub(crate) standin_address: SocketAddr,
    record_file: PathBuf,
}

/// `Fleet` is all processes of a deployment; dropping it kills those that still run.
pub(crate) struct Fleet {
    pub(crate) keepers: Vec<Keeper>,
    pub(crate) hosts: Vec<Host>,
}

impl Fleet {
    /// `start` starts every process and waits until all serve.
    pub(crate) fn start(deployment: &Deployment, paths: &Paths) -> Result<Self, Failure> {
        let starter = Starter { deployment, paths };
        let (places, admins) = starter.keeper_places()?;
        let mut keepers = Vec::new();
        for (place, admin) in places.iter().zip(admins) {
            keepers.push(starter.keeper(place, &places, admin)?);
        }
        let mut hosts = Vec::new();
        for i in 0..DATA_CENTRES * NODES_PER_DATA_CENTRE {
            hosts.push(starter.host(i, &places)?);
        }
        let mut fleet = Self { keepers, hosts };
        for process in fleet.processes() {
            process.wait_ready(READY)?;
        }
        Ok(fleet)
    }

    fn processes(&mut self) -> impl Iterator<Item = &mut Process> {
        let keepers = self.keepers.iter_mut().filter_map(|k| k.process.as_mut());
        let hosts = self.hosts.iter_mut();
        let hosts = hosts.flat_map(|h| h.node.as_mut().into_iter().chain(h.standin.as_mut()));
        keepers.chain(hosts)
    }

    /// `admins` returns the admin addresses of all keepers.
    pub(crate) fn admins(&self) -> Vec<SocketAddr> {
        self.keepers.iter().map(|k| k.admin).collect()
    }

    /// `records` reads what every stand-in ran, also those that were killed.
    pub(crate) fn records(&self) -> Result<Vec<RecordedRequest>, Failure> {
        let mut requests = Vec::new();
        for host in &self.hosts {
            requests.extend(Record::read_file(&host.record_file)?);
        }
        Ok(requests)
    }

    /// `crashed` counts the stand-ins that ended by themselves.
    pub(crate) fn crashed(&mut self) -> usize {
        let standins = self.hosts.iter_mut().filter_map(|h| h.standin.as_mut());
        standins.filter_map(|s| s.has_ended().then_some(())).count()
    }

    /// `end` stops every process as planned and returns how many ended with code 0, of how many.
    ///
    /// Backend servers drain first, then nodes and then keepers end.
    pub(crate) fn end(mut self) -> Result<(usize, usize), Failure> {
        let standins = self
            .hosts
            .iter_mut()
            .filter_map(|h| h.standin.take())
            .collect();
        let nodes = self
            .hosts
            .iter_mut()
            .filter_map(|h| h.node.take())
            .collect();
        let keepers = self
            .keepers
            .iter_mut()
            .filter_map(|k| k.process.take())
            .collect();
        let mut standins: Vec<Process> = standins;
        // Those that the demo crashed cannot end as planned.
        standins.retain_mut(|s| !s.has_ended());
        let (mut good, mut all) = (0, 0);
        let groups: [Vec<Process>; 3] = [standins, nodes, keepers];
        for group in groups {
            for process in &group {
                process.signal("TERM")?;
            }
            all += group.len();
            let ended = group.into_iter().map(|p| p.terminate(END));
            good += ended
                .filter(|e| e.as_ref().is_ok_and(|s| s.success()))
                .count();
        }
        Ok((good, all))
    }
}

/// `Starter` starts the processes of a deployment.
struct Starter<'a> {
    deployment: &'a Deployment,
    paths: &'a Paths,
}

impl Starter<'_> {
    fn ip(&self, kind: u8, i: usize) -> IpAddr {
        let last = u8::try_from(i + 1).unwrap_or(u8::MAX);
        IpAddr::V4(Ipv4Addr::new(127, self.deployment.net, kind, last))
    }

    fn keeper_places(&self) -> Result<(Vec<KeeperPlace>, Vec<SocketAddr>), Failure> {
        let mut places = Vec::new();
        let mut admins = Vec::new();
        for i in 0..DATA_CENTRES / 2 * KEEPERS_PER_REGION {
            // Two of a region's three keepers stand in its first data centre, one in the second.
            let (region, in_region) = (i / KEEPERS_PER_REGION, i % KEEPERS_PER_REGION);
            let (region, data_centre) = self.deployment.data_centre(region * 2 + in_region / 2);
            let free = ports::free(self.ip(0, i), 3)?;
            places.push(KeeperPlace {
                id: u32::try_from(i + 1)?,
                region: region.to_owned(),
                data_centre,
                control_address: free[0],
                peer_address: free[1],
            });
            admins.push(free[2]);
        }
        Ok((places, admins))
    }

    fn keeper(
        &self,
        place: &KeeperPlace,
        all: &[KeeperPlace],
        admin: SocketAddr,
    ) -> Result<Keeper, Failure> {
        let name = format!("k{}", place.id);
        let data_dir = self.paths.work.join(&name);
        let regions = &self.deployment.regions;
        let settings = keeper_settings(place, all, regions, &data_dir, admin);
        let process =
            self.with_settings("shallothill-keeper", &name, &settings, &["--new-group"])?;
        Ok(Keeper {
            place: place.clone(),
            admin,
            process: Some(process),
        })
    }

    fn host(&self, i: usize, keepers: &[KeeperPlace]) -> Result<Host, Failure> {
        let (region, data_centre) = self.deployment.data_centre(i / NODES_PER_DATA_CENTRE);
        let free = ports::free(self.ip(1, i), 5)?;
        let place = NodePlace {
            node: format!("n{}", i + 1),
            region: region.to_owned(),
            data_centre,
            caller_address: free[0],
            peer_address: free[1],
            announce_address: free[2],
        };
        let settings = node_settings(&place, keepers, &self.deployment.regions, free[3]);
        let node = self.with_settings("shallothill-node", &place.node, &settings, &[])?;
        let service = self.deployment.services[i % self.deployment.services.len()];
        let record_file = self.paths.work.join(format!("{}.record", place.node));
        let mut command = self.command("shallothill-standin");
        command.args(["--listen", &free[4].to_string()]);
        command.args(["--announce", &place.announce_address.to_string()]);
        command.args(["--service", service, "--endpoint", "e1"]);
        command.args(["--slots", &self.deployment.slots.to_string()]);
        let behaviour = json!({"latency_ms": self.deployment.latency_ms, "crash_mark": "poison"});
        command.args(["--behaviour", &behaviour.to_string()]);
        command.arg("--record").arg(&record_file);
        let log = self.paths.work.join(format!("{}-standin.log", place.node));
        let standin = Process::spawn(command, &log)?;
        Ok(Host {
            place,
            node: Some(node),
            standin: Some(standin),
            service,
            standin_address: free[4],
            record_file,
        })
    }

    fn with_settings(
        &self,
        program: &str,
        name: &str,
        text: &str,
        more: &[&str],
    ) -> Result<Process, Failure> {
        let file = self.paths.work.join(format!("{name}.yaml"));
        fs::write(&file, text)?;
        let mut command = self.command(program);
        command.arg("--settings").arg(file).args(more);
        let log = self.paths.work.join(format!("{name}.log"));
        Ok(Process::spawn(command, &log)?)
    }

    fn command(&self, program: &str) -> Command {
        let mut command = Command::new(self.paths.binaries.join(program));
        command.env("TOKIO_WORKER_THREADS", WORKER_THREADS);
        command
    }
}
