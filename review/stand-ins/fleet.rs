//! The platform: it starts the programs of the deploy file on loopback addresses.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

const CONTROL: u16 = 8620;
const READY: u16 = 8625;
const APP: u16 = 8628;
const OUTBOUND: u16 = 8629;
const INTERNAL: [u16; 2] = [7600, 7615];

/// The bounds of the site file `sites/kopukcu-mesh.toml`.
const BOUNDS: &str = r#"{"seed_lag_s":3,"reuse_after_s":2,"stable_window_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2500,"grace_s":6,"lost_slack_ms":200,"config_apply_ms":2500,"rollback_slack_ms":250,"skew_max_ms":5000,"retry_budget_ratio":0.2,"budget_window_s":10,"retry_budget_slack":60,"recovery_s":15,"probes_per_s":3,"floor_share":0.7}"#;

const ZONES: [(&str, &str); 3] = [("a-1", "north"), ("b-1", "south"), ("c-1", "west")];

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// One machine with its process.
pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    /// The settings of the next start, if they differ.
    later_settings: Option<String>,
    child: Option<Child>,
}

impl Machine {
    fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), port)
    }

    pub fn control(&self) -> SocketAddr {
        self.at(CONTROL)
    }

    pub fn ready(&self) -> SocketAddr {
        self.at(READY)
    }

    pub fn outbound(&self) -> SocketAddr {
        self.at(OUTBOUND)
    }

    pub fn app(&self) -> SocketAddr {
        self.at(APP)
    }

    /// The id of the process, 0 without one.
    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, |c| c.id())
    }

    /// Sends a signal to the process, which this program has started.
    pub fn signal(&self, number: i32) {
        if let Some(child) = &self.child {
            unsafe { kill(child.id() as i32, number) };
        }
    }

    /// Waits until the process has ended.
    pub fn wait_ended(&mut self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            let ended = self.child.as_mut().map(|c| c.try_wait());
            if matches!(ended, None | Some(Ok(Some(_)))) {
                self.child = None;
                return true;
            }
            thread::sleep(Duration::from_millis(5));
        }
        false
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_none_or(|c| matches!(c.try_wait(), Ok(Some(_))))
    }
}

/// Three machines with a disk, each in its zone, and some machines with a server in the first zone.
pub struct Fleet {
    root: PathBuf,
    dir: PathBuf,
    commands: BTreeMap<String, String>,
    pub core: Vec<Machine>,
    pub side: Vec<Machine>,
    record: Record,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for machine in self.core.iter_mut().chain(&mut self.side) {
            if let Some(mut child) = machine.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

impl Fleet {
    /// Starts all processes; `services` names the service beside each node.
    pub fn start(root: &Path, services: &[&str], record: &Record) -> io::Result<Self> {
        let dir = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let (core, side) = (3, services.len());
        let net = free_network(core, side)?;
        let mut fleet = Self {
            commands: read_commands(root)?,
            root: root.to_owned(),
            dir,
            core: Vec::new(),
            side: Vec::new(),
            record: record.clone(),
        };
        let seeds: Vec<String> = (1..=core)
            .map(|n| format!("\"{}:{CONTROL}\"", net.host(n as u8)))
            .collect();
        let seeds = format!("[{}]", seeds.join(","));
        for n in 0..core {
            let ip = net.host(n as u8 + 1);
            let machine = fleet.prepare("keeper", format!("core-{n}"), ip, n, &seeds, "")?;
            fleet.core.push(machine);
        }
        for (n, service) in services.iter().enumerate() {
            let ip = net.host(n as u8 + 11);
            let machine = fleet.prepare("node", format!("sidecar-{n}"), ip, 0, &seeds, service)?;
            fleet.side.push(machine);
        }
        for n in 0..core {
            fleet.spawn_core(n)?;
        }
        for n in 0..side {
            fleet.spawn_side(n)?;
        }
        Ok(fleet)
    }

    fn prepare(
        &self,
        role: &'static str,
        name: String,
        ip: Ipv4Addr,
        n: usize,
        seeds: &str,
        service: &str,
    ) -> io::Result<Machine> {
        let (zone, region) = ZONES[n % ZONES.len()];
        let zones: Vec<String> = ZONES
            .iter()
            .map(|(z, r)| format!("\"{z}\":\"{r}\""))
            .collect();
        let data = self.dir.join(format!("data-{name}"));
        if role == "keeper" {
            fs::create_dir_all(&data)?;
        }
        let values = [
            ("node_id", format!("\"{name}\"")),
            ("ip", format!("\"{ip}\"")),
            ("zone", format!("\"{zone}\"")),
            ("region", format!("\"{region}\"")),
            ("zones", format!("{{{}}}", zones.join(","))),
            (
                "internal_ports",
                format!("[{},{}]", INTERNAL[0], INTERNAL[1]),
            ),
            ("seeds", seeds.to_owned()),
            ("listen.control", format!("\"{ip}:{CONTROL}\"")),
            ("listen.outbound", format!("\"{ip}:{OUTBOUND}\"")),
            ("listen.ready", format!("\"{ip}:{READY}\"")),
            ("service", format!("\"{service}\"")),
            ("data_dir", format!("\"{}\"", data.display())),
            ("bootstrap", "true".to_owned()),
            ("fault_tolerance.machines", "1".to_owned()),
            ("bounds", BOUNDS.to_owned()),
        ];
        let template = self.root.join(format!("deploy/{role}.yaml.tmpl"));
        let mut text = fs::read_to_string(template)?;
        for (key, value) in &values {
            text = text.replace(&format!("{{{{{key}|json}}}}"), value);
        }
        let settings = self.dir.join(format!("{name}.yaml"));
        fs::write(&settings, text)?;
        Ok(Machine {
            log: self.dir.join(format!("{name}.log")),
            name,
            ip,
            role,
            settings,
            later_settings: None,
            child: None,
        })
    }

    /// Starts a keeper; only its first start is that of a new system.
    pub fn spawn_core(&mut self, n: usize) -> io::Result<()> {
        if let Some(text) = self.core[n].later_settings.take() {
            fs::write(&self.core[n].settings, text)?;
        }
        let child = self.spawn(&self.core[n])?;
        let settings = &self.core[n].settings;
        let text = fs::read_to_string(settings)?;
        if !text.contains("new_group: false") {
            self.core[n].later_settings = Some(text.replace("new_group: true", "new_group: false"));
        }
        self.core[n].child = Some(child);
        Ok(())
    }

    pub fn spawn_side(&mut self, n: usize) -> io::Result<()> {
        let child = self.spawn(&self.side[n])?;
        self.side[n].child = Some(child);
        Ok(())
    }

    fn spawn(&self, machine: &Machine) -> io::Result<Child> {
        let missing = || io::Error::other(format!("no role {} in the deploy file", machine.role));
        let command = self.commands.get(machine.role).ok_or_else(missing)?;
        let mut words = command.split(' ');
        let program = self.root.join(words.next().unwrap_or_default());
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(&machine.log)?;
        self.record
            .line(format!("start of {} on {}", machine.name, machine.ip));
        let mut command = Command::new(program);
        // Ends the process with this program, also when that is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        command
            .args(words)
            .current_dir(&self.root)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("SHALLOTHILL_SETTINGS", &machine.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
    }

    /// The log of a node.
    pub fn log_of_side(&self, n: usize) -> String {
        fs::read_to_string(&self.side[n].log).unwrap_or_default()
    }

    /// Sends a configuration until it is acknowledged, as the operator does.
    pub fn put_config(&self, base: u64, body: &str, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let base = format!("{base:08x}");
        let mut n = 0;
        while Instant::now() < end {
            let address = self.core[n % self.core.len()].control();
            n += 1;
            let host = address.to_string();
            let headers = [
                ("Host", host.as_str()),
                ("X-Base-Version", base.as_str()),
                ("Content-Type", "application/json"),
                ("Connection", "close"),
            ];
            let path = "POST /rpc?call=config.put";
            let answer = http::call(
                address,
                path,
                &headers,
                body.as_bytes(),
                Duration::from_secs(1),
            );
            let status = answer.map_or(0, |a| a.status());
            self.record.line(format!(
                "operator: config.put on {base} to {address}: {status}"
            ));
            if status == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Waits until all nodes are ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let all: Vec<usize> = (0..self.side.len()).collect();
        all.into_iter().all(|n| self.wait_side_ready(n, limit))
    }

    pub fn wait_side_ready(&self, n: usize, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready(n) {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn is_ready(&self, n: usize) -> bool {
        let address = self.side[n].ready();
        let host = address.to_string();
        let headers = [("Host", host.as_str()), ("Connection", "close")];
        let second = Duration::from_secs(1);
        http::call(address, "GET /ready", &headers, b"", second).is_ok_and(|a| a.status() == 200)
    }
}

/// The network of the loopback addresses of one run.
struct Network([u8; 2]);

impl Network {
    fn host(&self, n: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.0[0], self.0[1], n)
    }
}

fn free_network(core: usize, side: usize) -> io::Result<Network> {
    let seed = std::process::id();
    for n in 0..100 {
        let draw = seed.wrapping_mul(2654435761).wrapping_add(n * 40503);
        let net = Network([(draw >> 8) as u8 % 200 + 20, (draw >> 16) as u8 % 250]);
        let hosts = (1..=core as u8).chain(11..11 + side as u8);
        let ports = [CONTROL, READY, APP, OUTBOUND];
        let internal = INTERNAL[0]..INTERNAL[0] + 5;
        let free = hosts.clone().all(|h| {
            ports
                .iter()
                .copied()
                .chain(internal.clone())
                .all(|p| TcpListener::bind((net.host(h), p)).is_ok())
        });
        if free {
            return Ok(net);
        }
    }
    Err(io::Error::other("no free loopback addresses"))
}

// Reads the command of each role from the deploy file.
fn read_commands(root: &Path) -> io::Result<BTreeMap<String, String>> {
    let text = fs::read_to_string(root.join("deploy/system.toml"))?;
    let mut commands = BTreeMap::new();
    let mut role = String::new();
    for line in text.lines() {
        if let Some(name) = line.strip_prefix("[roles.") {
            role = name.trim_end_matches(']').to_owned();
        } else if let Some(command) = line.strip_prefix("run = ") {
            commands.insert(role.clone(), command.trim_matches('"').to_owned());
        }
    }
    Ok(commands)
}
