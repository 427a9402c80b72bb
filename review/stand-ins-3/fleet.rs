//! A small deployment of keepers and nodes as separate processes, with the commands and templates
//! of the deploy file.

use std::fs;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::record::Record;
use crate::signal;
use crate::signal::Signal;

/// `START_LIMIT` bounds the waits at the start of a deployment.
const START_LIMIT: Duration = Duration::from_secs(30);

/// `BOUNDS` are the bounds of the small deployments.
const BOUNDS: &str = r#"{"seed_lag_s":3,"reuse_after_s":2,"stable_window_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2500,"grace_s":6,"lost_slack_ms":200,"config_apply_ms":2500,"rollback_slack_ms":250,"skew_max_ms":5000,"retry_budget_ratio":0.2,"budget_window_s":10,"retry_budget_slack":60,"recovery_s":15,"probes_per_s":3,"floor_share":0.7}"#;

const OUTBOUND: u16 = 20;
const READY: u16 = 21;
const CONTROL: u16 = 22;
const APP: u16 = 23;
const LAST_PORT: u16 = 24;

/// `Process` is one process of the system and the machine that it runs on.
pub struct Process {
    pub name: String,
    pub ip: Ipv4Addr,
    role: &'static str,
    base: u16,
    settings: PathBuf,
    output: PathBuf,
    child: Option<Child>,
}

impl Process {
    fn address(&self, offset: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), self.base + offset)
    }

    /// `outbound` is where the consumers of the machine send requests.
    pub fn outbound(&self) -> SocketAddr {
        self.address(OUTBOUND)
    }

    /// `control` is where endpoints check in, or operators send orders.
    pub fn control(&self) -> SocketAddr {
        self.address(CONTROL)
    }

    /// `app` is the address of the endpoint of the machine.
    pub fn app(&self) -> SocketAddr {
        self.address(APP)
    }

    /// `signal` sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            signal::send(child.id(), signal);
        }
    }

    /// `end` kills the process and waits for its end.
    pub fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// `start` starts the process with the command of the deploy file.
    pub fn start(&mut self, root: &Path) -> io::Result<()> {
        let output = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.output)?;
        let mut command = Command::new(root.join("target/release/shallothill-platform"));
        command
            .arg(self.role)
            .current_dir(root)
            .env_clear()
            .env("SHALLOTHILL_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output);
        // SAFETY: the call between fork and exec only sets a flag of the new process.
        unsafe { command.pre_exec(signal::end_with_parent) };
        self.child = Some(command.spawn()?);
        Ok(())
    }
}

/// `Fleet` is a running deployment; all its processes end when it is dropped.
pub struct Fleet {
    pub keepers: Vec<Process>,
    pub nodes: Vec<Process>,
    root: PathBuf,
    folder: PathBuf,
    record: Arc<Record>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in self.nodes.iter_mut().chain(&mut self.keepers) {
            process.end();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// `start` starts `keepers` keepers and one node for each of `services`.
    pub fn start(
        root: &Path,
        keepers: usize,
        services: &[&str],
        record: &Arc<Record>,
    ) -> io::Result<Self> {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-3-{pid}"));
        fs::create_dir_all(&folder)?;
        let net = 64 + (pid % 128) as u8;
        let keeper_ips: Vec<_> = (1..=keepers)
            .map(|n| Ipv4Addr::new(127, net, 0, n as u8))
            .collect();
        let node_ips: Vec<_> = (1..=services.len())
            .map(|n| Ipv4Addr::new(127, net, 1, n as u8))
            .collect();
        let base = free_base(keeper_ips.iter().chain(&node_ips))?;
        let process = |name: String, role, ip| Process {
            settings: folder.join(format!("{name}.yaml")),
            output: folder.join(format!("{name}.log")),
            child: None,
            name,
            ip,
            role,
            base,
        };
        let mut fleet = Self {
            keepers: keeper_ips
                .iter()
                .enumerate()
                .map(|(i, ip)| process(format!("core-{}", i + 1), "keeper", *ip))
                .collect(),
            nodes: node_ips
                .iter()
                .enumerate()
                .map(|(i, ip)| process(format!("side-{}", i + 1), "node", *ip))
                .collect(),
            root: root.to_owned(),
            folder,
            record: Arc::clone(record),
        };
        fleet.write_settings(services)?;
        for process in fleet.keepers.iter_mut().chain(&mut fleet.nodes) {
            process.start(root)?;
        }
        Ok(fleet)
    }

    // Renders the templates of the deploy file.
    fn write_settings(&self, services: &[&str]) -> io::Result<()> {
        let seeds: Vec<String> = self
            .keepers
            .iter()
            .take(3)
            .map(|k| format!("\"{}\"", k.control()))
            .collect();
        let seeds = format!("[{}]", seeds.join(","));
        let zones = r#"{"z-1":"r-1","z-2":"r-2","z-3":"r-3"}"#;
        let losses = (self.keepers.len() - 1) / 2;
        let all = self.keepers.iter().chain(&self.nodes).enumerate();
        for (i, p) in all {
            let is_keeper = p.role == "keeper";
            let place = if is_keeper { i } else { i - self.keepers.len() };
            let template = self.root.join(format!("deploy/{}.yaml.tmpl", p.role));
            let data_dir = self.folder.join(format!("data-{}", p.name));
            let service = if is_keeper { "" } else { services[place] };
            let text = fs::read_to_string(template)?
                .replace("{{node_id|json}}", &format!("{:?}", p.name))
                .replace("{{ip|json}}", &format!("\"{}\"", p.ip))
                .replace("{{zone|json}}", &format!("\"z-{}\"", place % 3 + 1))
                .replace("{{region|json}}", &format!("\"r-{}\"", place % 3 + 1))
                .replace(
                    "{{internal_ports|json}}",
                    &format!("[{},{}]", p.base, p.base + 15),
                )
                .replace("{{seeds|json}}", &seeds)
                .replace("{{zones|json}}", zones)
                .replace("{{listen.outbound|json}}", &format!("\"{}\"", p.outbound()))
                .replace(
                    "{{listen.ready|json}}",
                    &format!("\"{}\"", p.address(READY)),
                )
                .replace("{{listen.control|json}}", &format!("\"{}\"", p.control()))
                .replace("{{data_dir|json}}", &format!("{data_dir:?}"))
                .replace("{{bootstrap|json}}", "true")
                .replace("{{fault_tolerance.machines|json}}", &losses.to_string())
                .replace("{{service|json}}", &format!("{service:?}"))
                .replace("{{bounds|json}}", BOUNDS);
            fs::write(&p.settings, text)?;
        }
        Ok(())
    }

    /// `put_config` sends a configuration until a keeper acknowledges it.
    pub fn put_config(&self, base: &str, body: &str) -> io::Result<()> {
        let end = Instant::now() + START_LIMIT;
        let base_header = format!("X-Base-Version: {base}\r\n");
        while Instant::now() < end {
            for keeper in &self.keepers {
                let put =
                    http::post_json(keeper.control(), "/rpc?call=config.put", &base_header, body);
                if let Ok(response) = put {
                    if response.status() == 200 {
                        self.record.line("the configuration is acknowledged");
                        return Ok(());
                    }
                    if (400..500).contains(&response.status()) {
                        let text = String::from_utf8_lossy(&response.body).into_owned();
                        return Err(io::Error::other(format!("refused: {text}")));
                    }
                }
            }
            thread::sleep(Duration::from_millis(200));
        }
        Err(io::Error::other("no keeper acknowledged the configuration"))
    }

    /// `wait_ready` waits until all nodes are ready.
    pub fn wait_ready(&self) -> io::Result<()> {
        let end = Instant::now() + START_LIMIT;
        for node in &self.nodes {
            let request = "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
            let is_ready = || {
                let answer = http::call(
                    node.address(READY),
                    request.as_bytes(),
                    Duration::from_secs(1),
                );
                answer.is_ok_and(|r| r.status() == 200)
            };
            while !is_ready() {
                if Instant::now() > end {
                    return Err(io::Error::other(format!("{} is not ready", node.name)));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        self.record.line("all nodes are ready");
        Ok(())
    }
}

/// `route` is one row of routes for [`config`].
pub fn route(name: &str, prefix: &str, kind: &str, service: &str) -> String {
    format!(
        "[\"{name}\",\"desk.example\",\"{prefix}\",\"{kind}\",6000,2000,1,null,2,\"{service}\"]"
    )
}

/// `config` builds a configuration document.
pub fn config(version: &str, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|s| format!("[\"{s}\",\"/health\",360,\"h1\",false]"))
        .collect();
    format!(
        "{{\"version\":\"{version}\",\"routes\":{{\"columns\":[\"name\",\"host\",\"path_prefix\",\
         \"route_type\",\"timeout_ms\",\"target_latency_ms\",\"priority\",\"traffic_split\",\
         \"attempts\",\"service\"],\"rows\":[{}]}},\"services\":{{\"columns\":[\"name\",\
         \"health_path\",\"max_connections\",\"protocol\",\"tls\"],\"rows\":[{}]}},\"limits\":\
         {{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

// Returns a base port whose whole range is free on all `ips`.
fn free_base<'a>(ips: impl Iterator<Item = &'a Ipv4Addr> + Clone) -> io::Result<u16> {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let first = now.subsec_nanos() / 1000;
    for i in 0..200u32 {
        let base = 20_000 + ((first + i * 37) % 300 * 32) as u16;
        let is_free = |ip: &Ipv4Addr| {
            (0..LAST_PORT).all(|port| TcpListener::bind((*ip, base + port)).is_ok())
        };
        if ips.clone().all(is_free) {
            return Ok(base);
        }
    }
    Err(io::Error::other("no free ports"))
}
