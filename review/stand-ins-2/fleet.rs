//! The platform's part: renders the settings, starts and ends the processes of the deploy file, and
//! sends the operator's calls.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Call};
use crate::record::Record;

/// `CALL_LIMIT` is the time after which an operator asks another node.
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// `START_LIMIT` is the time for the first configuration and for the readiness of the nodes.
const START_LIMIT: Duration = Duration::from_secs(30);

const ZONES: [(&str, &str); 6] = [
    ("ist-1", "marmara-bolge"),
    ("izm-1", "ege-bolge"),
    ("ank-1", "anadolu-bolge"),
    ("brs-2", "marmara-bolge"),
    ("mns-2", "ege-bolge"),
    ("kny-2", "anadolu-bolge"),
];

/// `BOUNDS` are those of the sheet of kopukcu-mesh.
const BOUNDS: &str = r#"{"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2500, "grace_s": 6, "lost_slack_ms": 200, "config_apply_ms": 2500, "rollback_slack_ms": 250, "skew_max_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 60, "recovery_s": 15, "probes_per_s": 3, "floor_share": 0.7}"#;

/// `Role` is a role of the deploy file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    Keeper,
    Node,
}

impl Role {
    fn name(self) -> &'static str {
        match self {
            Self::Keeper => "keeper",
            Self::Node => "node",
        }
    }
}

/// `Machine` is a machine with the settings of its process.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub role: Role,
    pub ip: Ipv4Addr,
    pub zone: usize,
    pub service: &'static str,
    /// The descriptors of the machine, if the process is started with that limit.
    pub max_fds: Option<u32>,
}

/// `Ports` are the same on all machines.
#[derive(Clone, Copy, Debug)]
struct Ports {
    control: u16,
    outbound: u16,
    ready: u16,
    inbound: u16,
    app: u16,
    first_internal: u16,
}

/// `Fleet` holds the machines and their processes; it ends the processes when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    pub record: Record,
    root: PathBuf,
    dir: PathBuf,
    net: u8,
    ports: Ports,
    tolerated: usize,
    seeds: Vec<Ipv4Addr>,
    processes: BTreeMap<String, Child>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

impl Fleet {
    /// `new` picks free loopback addresses and a temporary folder. `tolerated` is the number of
    /// machines with disks that may be lost at once.
    pub fn new(record: &Record, tolerated: usize) -> Result<Self, String> {
        let root = std::env::current_dir().map_err(|e| e.to_string())?;
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let nanos = now.map_or(0, |d| d.subsec_nanos());
        let dir = std::env::temp_dir().join(format!("stand-ins-{}-{nanos}", std::process::id()));
        fs::create_dir_all(&dir).map_err(|e| format!("{}: {e}", dir.display()))?;
        let (net, ports) = free_net(nanos)?;
        record.note(&format!("machines at 127.{net}.0.0/24"));
        let seeds = (1..=3).map(|n| Ipv4Addr::new(127, net, 0, n)).collect();
        Ok(Self {
            record: record.clone(),
            root,
            dir,
            net,
            ports,
            tolerated,
            seeds,
            processes: BTreeMap::new(),
        })
    }

    fn at(&self, ip: Ipv4Addr, port: u16) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(ip, port))
    }

    pub fn control(&self, m: &Machine) -> SocketAddr {
        self.at(m.ip, self.ports.control)
    }

    pub fn outbound(&self, m: &Machine) -> SocketAddr {
        self.at(m.ip, self.ports.outbound)
    }

    pub fn ready(&self, m: &Machine) -> SocketAddr {
        self.at(m.ip, self.ports.ready)
    }

    pub fn app(&self, m: &Machine) -> SocketAddr {
        self.at(m.ip, self.ports.app)
    }

    pub fn keeper(&self, n: u8, zone: usize) -> Machine {
        Machine {
            name: format!("core-{}-{n}", ZONES[zone].0),
            role: Role::Keeper,
            ip: Ipv4Addr::new(127, self.net, 0, n),
            zone,
            service: "",
            max_fds: None,
        }
    }

    pub fn node(&self, n: u8, zone: usize) -> Machine {
        Machine {
            name: format!("sidecar-{}-{n}", ZONES[zone].0),
            role: Role::Node,
            ip: Ipv4Addr::new(127, self.net, 0, 10 + n),
            zone,
            service: "desk1a",
            max_fds: None,
        }
    }

    /// `start` renders the settings and starts the process of a machine. `bootstrap` is true only at
    /// the first start of the whole system.
    pub fn start(&mut self, m: &Machine, bootstrap: bool) -> Result<(), String> {
        let template = self
            .root
            .join(format!("deploy/{}.yaml.tmpl", m.role.name()));
        let template = fs::read_to_string(&template).map_err(|e| format!("{e}"))?;
        let settings = render(&template, &self.values(m, bootstrap))?;
        let path = self.dir.join(format!("{}.yaml", m.name));
        fs::write(&path, settings).map_err(|e| e.to_string())?;
        let _ = fs::create_dir_all(self.dir.join(format!("{}.data", m.name)));
        let words = run_words(&self.root, m.role)?;
        let mut command = match m.max_fds {
            None => Command::new(self.root.join(&words[0])),
            Some(limit) => {
                let mut shell = Command::new("bash");
                let line = format!("ulimit -Sn {limit} && exec \"$@\"");
                shell
                    .args(["-c", &line, "bash"])
                    .arg(self.root.join(&words[0]));
                shell
            }
        };
        let log = || -> Result<File, String> {
            let path = self.dir.join(format!("{}.log", m.name));
            let log = OpenOptions::new().create(true).append(true).open(path);
            log.map_err(|e| e.to_string())
        };
        let child = command
            .args(&words[1..])
            .current_dir(&self.root)
            .env("SHALLOTHILL_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log()?)
            .stderr(log()?)
            .spawn()
            .map_err(|e| format!("{} does not start: {e}; build it first", words[0]))?;
        self.record
            .note(&format!("{} started, process {}", m.name, child.id()));
        note_pid(child.id());
        self.processes.insert(m.name.clone(), child);
        Ok(())
    }

    /// `kill` ends the process of a machine with SIGKILL.
    pub fn kill(&mut self, m: &Machine) {
        if let Some(mut child) = self.processes.remove(&m.name) {
            let _ = child.kill();
            let _ = child.wait();
            self.record.note(&format!("{} gets SIGKILL", m.name));
        }
    }

    /// `pid` returns the id of the process of a machine while it runs.
    pub fn pid(&mut self, m: &Machine) -> Option<u32> {
        let child = self.processes.get_mut(&m.name)?;
        match child.try_wait() {
            Ok(None) => Some(child.id()),
            _ => None,
        }
    }

    /// `put_config` sends the operator's configuration to one machine; `None` is no answer.
    pub fn put_config(&self, m: &Machine, base: u32, version: u32) -> Option<u16> {
        let status = self.put_document(m, base, &config(version));
        let line = format!("config.put {version} on {base} at {} -> {status:?}", m.name);
        self.record.line(&line);
        status
    }

    /// `put_document` sends a configuration that builds on version `base`.
    pub fn put_document(&self, m: &Machine, base: u32, body: &str) -> Option<u16> {
        let base = format!("{base:08x}");
        let call = Call {
            method: "POST",
            path: "/rpc?call=config.put",
            headers: &[
                ("X-Base-Version", &base),
                ("Content-Type", "application/json"),
            ],
            body: body.as_bytes(),
        };
        // More than a second, for large bodies.
        let reply = http::call(self.control(m), &call, CALL_LIMIT * 5);
        reply.ok().map(|r| r.status)
    }

    /// `get_config` reads the configuration from one machine: the status and the version.
    pub fn get_config(&self, m: &Machine) -> Option<(u16, String)> {
        let call = Call {
            method: "POST",
            path: "/rpc?call=config.get",
            headers: &[("Content-Type", "application/json")],
            body: b"",
        };
        let reply = http::call(self.control(m), &call, CALL_LIMIT).ok();
        let text = reply.map(|r| (r.status, version_of(&r.body)));
        self.record
            .line(&format!("config.get at {} -> {text:?}", m.name));
        text
    }

    /// `put_first_config` sends the first configuration until it is accepted.
    pub fn put_first_config(&self, keepers: &[Machine]) -> Result<(), String> {
        let until = Instant::now() + START_LIMIT;
        for m in keepers.iter().cycle() {
            if self.put_config(m, 0, 1) == Some(200) {
                self.record.note("the first configuration is acknowledged");
                return Ok(());
            }
            if Instant::now() >= until {
                break;
            }
            thread::sleep(Duration::from_millis(200));
        }
        Err("the first configuration is not accepted".to_owned())
    }

    /// `is_ready` asks the readiness address on a connection of its own.
    pub fn is_ready(&self, m: &Machine) -> bool {
        let reply = http::call(self.ready(m), &READY, CALL_LIMIT);
        reply.is_ok_and(|r| r.status == 200)
    }

    pub fn wait_ready(&self, m: &Machine) -> Result<(), String> {
        let until = Instant::now() + START_LIMIT;
        while Instant::now() < until {
            if self.is_ready(m) {
                self.record.note(&format!("{} is ready", m.name));
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err(format!("{} does not become ready", m.name))
    }

    fn values(&self, m: &Machine, bootstrap: bool) -> BTreeMap<&'static str, String> {
        let text = |t: &str| format!("\"{t}\"");
        let at = |port: u16| format!("\"{}:{port}\"", m.ip);
        let seeds = self
            .seeds
            .iter()
            .map(|ip| format!("\"{ip}:{}\"", self.ports.control));
        let seeds: Vec<String> = seeds.collect();
        let zones = ZONES.map(|(zone, region)| format!("\"{zone}\": \"{region}\""));
        let (first, last) = (self.ports.first_internal, self.ports.first_internal + 15);
        let data_dir = self.dir.join(format!("{}.data", m.name));
        BTreeMap::from([
            ("node_id", text(&m.name)),
            ("ip", text(&m.ip.to_string())),
            ("zone", text(ZONES[m.zone].0)),
            ("region", text(ZONES[m.zone].1)),
            ("zones", format!("{{{}}}", zones.join(", "))),
            ("internal_ports", format!("[{first}, {last}]")),
            ("seeds", format!("[{}]", seeds.join(", "))),
            ("listen.control", at(self.ports.control)),
            ("listen.outbound", at(self.ports.outbound)),
            ("listen.ready", at(self.ports.ready)),
            ("listen.inbound", at(self.ports.inbound)),
            ("data_dir", text(&data_dir.to_string_lossy())),
            ("bootstrap", bootstrap.to_string()),
            ("fault_tolerance.machines", self.tolerated.to_string()),
            ("bounds", BOUNDS.to_owned()),
            ("service", text(m.service)),
        ])
    }
}

/// `READY` is the platform's readiness check.
pub const READY: Call<'static> = Call {
    method: "GET",
    path: "/ready",
    headers: &[],
    body: b"",
};

/// `config` is a configuration with an idempotent and a non-idempotent route.
fn config(version: u32) -> String {
    let columns = r#"["name","host","path_prefix","route_type","timeout_ms","target_latency_ms","priority","traffic_split","attempts","service"]"#;
    // Each version differs from the one before in a time-out.
    let timeout = 12_000 + version;
    format!(
        r#"{{"version":"{version:08x}","routes":{{"columns":{columns},"rows":[["r-read","read.example","/read/","idempotent",{timeout},2000,2,null,2,"desk1a"],["r-book","book.example","/book/","non_idempotent",6000,2000,1,null,2,"desk1a"]]}},"services":{{"columns":["name","health_path","max_connections","protocol","tls"],"rows":[["desk1a","/health",360,"h1",false],["ledger4c","/health",360,"h1",false]]}},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

fn version_of(body: &[u8]) -> String {
    let text = String::from_utf8_lossy(body);
    let after = text.split("\"version\":\"").nth(1).unwrap_or_default();
    after.chars().take_while(|c| *c != '"').collect()
}

// Fills in `{{name|json}}`, the only kind of placeholder in the templates.
fn render(template: &str, values: &BTreeMap<&str, String>) -> Result<String, String> {
    let mut out = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        let (name, after) = after.split_once("}}").ok_or("a placeholder has no end")?;
        let name = name.trim_end_matches("|json");
        let value = values.get(name).ok_or(format!("no value for `{name}`"))?;
        out.push_str(before);
        out.push_str(value);
        rest = after;
    }
    out.push_str(rest);
    Ok(out)
}

// Returns the words of `run` of a role in the deploy file.
fn run_words(root: &Path, role: Role) -> Result<Vec<String>, String> {
    let text = fs::read_to_string(root.join("deploy/system.toml")).map_err(|e| e.to_string())?;
    let section = format!("[roles.{}]", role.name());
    let lines = text.lines().skip_while(|l| l.trim() != section);
    let run = lines.skip(1).find_map(|l| l.trim().strip_prefix("run = "));
    let run = run.ok_or(format!("the deploy file has no `run` for {section}"))?;
    Ok(run
        .trim_matches('"')
        .split(' ')
        .map(str::to_owned)
        .collect())
}

// Looks for a loopback network in which all ports are free.
fn free_net(seed: u32) -> Result<(u8, Ports), String> {
    for attempt in 0..50u32 {
        let number = seed.wrapping_add(attempt.wrapping_mul(7919));
        let net = 20 + (number / 7 % 200) as u8;
        let first = 20000 + (number % 900 * 20) as u16;
        let ports = Ports {
            first_internal: first,
            control: first + 16,
            outbound: first + 17,
            ready: first + 18,
            inbound: first + 19,
            app: first + 15,
        };
        let free =
            |n: u8, port: u16| TcpListener::bind((Ipv4Addr::new(127, net, 0, n), port)).is_ok();
        let hosts = (1..=8).chain(11..=14);
        if hosts
            .into_iter()
            .all(|n| (first..first + 20).all(|port| free(n, port)))
        {
            return Ok((net, ports));
        }
    }
    Err("no free ports on loopback addresses".to_owned())
}

/// `note_pid` adds a process to the list of those that `run.sh` ends, whatever happens.
pub fn note_pid(pid: u32) {
    let Ok(path) = std::env::var("PIDS_FILE") else {
        return;
    };
    let file = OpenOptions::new().create(true).append(true).open(path);
    let _ = file.and_then(|mut f| writeln!(f, "{pid}"));
}

/// `anonymous_kb` returns the anonymous memory of a process in kB, which leaves out the pages of its
/// program.
pub fn anonymous_kb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("RssAnon:"));
    let number = line.and_then(|l| l.split_whitespace().next()?.parse().ok());
    number.unwrap_or(0)
}
