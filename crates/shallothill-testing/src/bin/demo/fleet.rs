//! Starts, kills and shuts down the processes of one deployment.

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

/// `READY_TIMEOUT` bounds the start of a process; all processes start at the same time.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// `TERMINATION_TIMEOUT` bounds the graceful shutdown of a process.
const TERMINATION_TIMEOUT: Duration = Duration::from_secs(10);

/// `DATA_CENTRES` is the number of data centres, two for each region; each has one and a half
/// keepers on average and six nodes.
const DATA_CENTRES: usize = 6;
const NODES_PER_DATA_CENTRE: usize = 6;
const KEEPERS_PER_REGION: usize = 3;

/// `WORKER_THREADS` limits the threads of each process: with the default, one for each core, about
/// 80 processes would start 80 threads for every core.
const WORKER_THREADS: &str = "2";

/// `Keeper` is one keeper process.
pub(crate) struct Keeper {
    pub(crate) place: KeeperPlace,
    pub(crate) admin_address: SocketAddr,
    pub(crate) process: Option<Process>,
}

/// `Host` is one host with a node and a stand-in backend server.
pub(crate) struct Host {
    pub(crate) place: NodePlace,
    pub(crate) node: Option<Process>,
    pub(crate) standin: Option<Process>,
    pub(crate) service: &'static str,
    pub(crate) standin_address: SocketAddr,
    record_file: PathBuf,
}

/// `Fleet` holds all processes of a deployment; dropping it kills those that still run.
pub(crate) struct Fleet {
    pub(crate) keepers: Vec<Keeper>,
    pub(crate) hosts: Vec<Host>,
}

impl Fleet {
    /// `start` starts all processes and waits until each has printed its `ready` line.
    pub(crate) fn start(deployment: &Deployment, paths: &Paths) -> Result<Self, Failure> {
        let starter = ProcessStarter { deployment, paths };
        let (places, admins) = starter.keeper_places()?;
        let mut keepers = Vec::new();
        for (place, admin) in places.iter().zip(admins) {
            keepers.push(starter.spawn_keeper(place, &places, admin)?);
        }
        let mut hosts = Vec::new();
        for i in 0..DATA_CENTRES * NODES_PER_DATA_CENTRE {
            hosts.push(starter.spawn_host(i, &places)?);
        }
        let mut fleet = Self { keepers, hosts };
        for process in fleet.processes() {
            process.wait_ready(READY_TIMEOUT)?;
        }
        Ok(fleet)
    }

    fn processes(&mut self) -> impl Iterator<Item = &mut Process> {
        let keepers = self.keepers.iter_mut().filter_map(|k| k.process.as_mut());
        let hosts = self.hosts.iter_mut();
        let hosts = hosts.flat_map(|h| h.node.as_mut().into_iter().chain(h.standin.as_mut()));
        keepers.chain(hosts)
    }

    /// `admin_addresses` returns the admin addresses of all keepers.
    pub(crate) fn admin_addresses(&self) -> Vec<SocketAddr> {
        self.keepers.iter().map(|k| k.admin_address).collect()
    }

    /// `records` reads the request records of all stand-ins, including those that were killed.
    pub(crate) fn records(&self) -> Result<Vec<RecordedRequest>, Failure> {
        let mut requests = Vec::new();
        for host in &self.hosts {
            requests.extend(Record::read_file(&host.record_file)?);
        }
        Ok(requests)
    }

    /// `count_exited_standins` counts the stand-ins that exited although the demo did not stop
    /// them.
    pub(crate) fn count_exited_standins(&mut self) -> usize {
        let standins = self.hosts.iter_mut().filter_map(|h| h.standin.as_mut());
        standins.filter_map(|s| s.has_ended().then_some(())).count()
    }

    /// `shut_down` terminates all processes gracefully; returns how many exited with code 0, and
    /// their total.
    ///
    /// Backend servers drain first, then nodes and then keepers shut down.
    pub(crate) fn shut_down(mut self) -> Result<(usize, usize), Failure> {
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
        // Stand-ins that the poison request crashed have already exited.
        standins.retain_mut(|s| !s.has_ended());
        let (mut clean_exits, mut total) = (0, 0);
        let groups: [Vec<Process>; 3] = [standins, nodes, keepers];
        for group in groups {
            for process in &group {
                process.signal("TERM")?;
            }
            total += group.len();
            let ended = group.into_iter().map(|p| p.terminate(TERMINATION_TIMEOUT));
            clean_exits += ended
                .filter(|e| e.as_ref().is_ok_and(|s| s.success()))
                .count();
        }
        Ok((clean_exits, total))
    }
}

/// `ProcessStarter` starts the processes of a deployment.
struct ProcessStarter<'a> {
    deployment: &'a Deployment,
    paths: &'a Paths,
}

impl ProcessStarter<'_> {
    fn loopback_ip(&self, process_kind: u8, i: usize) -> IpAddr {
        let last = u8::try_from(i + 1).unwrap_or(u8::MAX);
        IpAddr::V4(Ipv4Addr::new(
            127,
            self.deployment.loopback_net,
            process_kind,
            last,
        ))
    }

    fn keeper_places(&self) -> Result<(Vec<KeeperPlace>, Vec<SocketAddr>), Failure> {
        let mut places = Vec::new();
        let mut admins = Vec::new();
        for i in 0..DATA_CENTRES / 2 * KEEPERS_PER_REGION {
            // Two of the three keepers of a region run in its first data centre, one in the second.
            let (region, in_region) = (i / KEEPERS_PER_REGION, i % KEEPERS_PER_REGION);
            let (region, data_centre) = self.deployment.data_centre(region * 2 + in_region / 2);
            let free = ports::free(self.loopback_ip(0, i), 3)?;
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

    fn spawn_keeper(
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
            self.spawn_with_settings("shallothill-keeper", &name, &settings, &["--new-group"])?;
        Ok(Keeper {
            place: place.clone(),
            admin_address: admin,
            process: Some(process),
        })
    }

    fn spawn_host(&self, i: usize, keepers: &[KeeperPlace]) -> Result<Host, Failure> {
        let (region, data_centre) = self.deployment.data_centre(i / NODES_PER_DATA_CENTRE);
        let free = ports::free(self.loopback_ip(1, i), 5)?;
        let place = NodePlace {
            node: format!("n{}", i + 1),
            region: region.to_owned(),
            data_centre,
            caller_address: free[0],
            peer_address: free[1],
            announce_address: free[2],
        };
        let settings = node_settings(&place, keepers, &self.deployment.regions, free[3]);
        let node = self.spawn_with_settings("shallothill-node", &place.node, &settings, &[])?;
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

    fn spawn_with_settings(
        &self,
        program: &str,
        name: &str,
        text: &str,
        extra_args: &[&str],
    ) -> Result<Process, Failure> {
        let file = self.paths.work.join(format!("{name}.yaml"));
        fs::write(&file, text)?;
        let mut command = self.command(program);
        command.arg("--settings").arg(file).args(extra_args);
        let log = self.paths.work.join(format!("{name}.log"));
        Ok(Process::spawn(command, &log)?)
    }

    fn command(&self, program: &str) -> Command {
        let mut command = Command::new(self.paths.binaries.join(program));
        command.env("TOKIO_WORKER_THREADS", WORKER_THREADS);
        command
    }
}
