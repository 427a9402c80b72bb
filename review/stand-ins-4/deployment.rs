//! A small deployment of the project's own programs on loopback addresses, and stand-ins for its
//! consumers, endpoints and operator. It needs the standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs;
use std::fs::File;
use std::io;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Keepers of the deployment; two of them may be lost at the same time.
pub const KEEPERS: usize = 5;
/// Slots of an endpoint.
pub const SLOTS: usize = 7;
/// Time between two check-ins of an endpoint.
pub const HEARTBEAT: Duration = Duration::from_millis(1500);

const ZONES: [(&str, &str); 6] = [
    ("ist-1", "marmara-bolge"),
    ("izm-1", "ege-bolge"),
    ("ank-1", "anadolu-bolge"),
    ("brs-2", "marmara-bolge"),
    ("mns-2", "ege-bolge"),
    ("kny-2", "anadolu-bolge"),
];
const BOUNDS: &str = r#"{"seed_lag_s":3,"reuse_after_s":2,"stable_window_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2500,"grace_s":6,"lost_slack_ms":200,"config_apply_ms":2500,"rollback_slack_ms":250,"skew_max_ms":5000,"retry_budget_ratio":0.2,"budget_window_s":10,"retry_budget_slack":60,"recovery_s":15,"probes_per_s":3,"floor_share":0.7}"#;

pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;
pub const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Writes `record.txt`: what was sent, answered and run, in seconds since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    pub fn line(&self, text: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// The programs that run, and where.
pub struct Deployment {
    root: PathBuf,
    dir: PathBuf,
    net: (u8, u8),
    port: u16,
    children: Mutex<HashMap<String, Child>>,
    pub record: Record,
}

fn random(n: u64) -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new()
        .build_hasher()
        .finish()
        % n
}

impl Deployment {
    /// Finds free addresses; `root` is the repository, and `record` goes to the folder of the case.
    pub fn new(root: &Path, record: Record, nodes: usize) -> io::Result<Self> {
        for _ in 0..50 {
            let net = (30 + random(200) as u8, 1 + random(250) as u8);
            let port = 20_000 + random(9_000) as u16;
            let dir = std::env::temp_dir().join(format!("shallothill-review-{}", random(1 << 40)));
            let d = Self {
                root: root.to_path_buf(),
                dir,
                net,
                port,
                children: Mutex::default(),
                record: record.clone(),
            };
            let hosts = (0..KEEPERS)
                .map(|i| d.keeper_ip(i))
                .chain((0..nodes).map(|i| d.node_ip(i)));
            let free = |ip: &String| (0..32).all(|p| TcpListener::bind((ip.as_str(), port + p)).is_ok());
            if hosts.collect::<Vec<_>>().iter().all(free) {
                fs::create_dir_all(&d.dir)?;
                return Ok(d);
            }
        }
        Err(io::Error::other("no free addresses"))
    }

    pub fn keeper_ip(&self, i: usize) -> String {
        format!("127.{}.{}.{}", self.net.0, self.net.1, 10 + i)
    }

    pub fn node_ip(&self, i: usize) -> String {
        format!("127.{}.{}.{}", self.net.0, self.net.1, 50 + i)
    }

    /// `control`: check-ins of endpoints, and the operator's calls.
    pub fn control(&self, ip: &str) -> String {
        format!("{ip}:{}", self.port + 20)
    }

    pub fn outbound(&self, ip: &str) -> String {
        format!("{ip}:{}", self.port + 29)
    }

    pub fn ready(&self, ip: &str) -> String {
        format!("{ip}:{}", self.port + 25)
    }

    pub fn app(&self, ip: &str) -> String {
        format!("{ip}:{}", self.port + 28)
    }

    fn render(&self, template: &str, fields: &[(&str, String)]) -> io::Result<String> {
        let mut text = fs::read_to_string(self.root.join(template))?;
        for (name, json) in fields {
            text = text.replace(&format!("{{{{{name}|json}}}}"), json);
        }
        if let Some(at) = text.find("{{") {
            let rest: String = text[at..].chars().take(40).collect();
            return Err(io::Error::other(format!("{template}: no value for {rest}")));
        }
        Ok(text)
    }

    fn fields(&self, name: &str, ip: &str, zone: usize) -> Vec<(&'static str, String)> {
        let quote = |s: &str| format!("\"{s}\"");
        let (zone, region) = ZONES[zone % ZONES.len()];
        let seeds: Vec<String> = (0..3)
            .map(|i| quote(&self.control(&self.keeper_ip(i))))
            .collect();
        let zones: Vec<String> = ZONES
            .iter()
            .map(|(z, r)| format!("\"{z}\":\"{r}\""))
            .collect();
        vec![
            ("node_id", quote(name)),
            ("ip", quote(ip)),
            ("zone", quote(zone)),
            ("region", quote(region)),
            ("zones", format!("{{{}}}", zones.join(","))),
            ("internal_ports", format!("[{},{}]", self.port, self.port + 15)),
            ("seeds", format!("[{}]", seeds.join(","))),
            ("listen.control", quote(&self.control(ip))),
            ("listen.outbound", quote(&self.outbound(ip))),
            ("listen.ready", quote(&self.ready(ip))),
            ("fault_tolerance.machines", "2".to_owned()),
            ("bounds", BOUNDS.to_owned()),
        ]
    }

    /// Starts a program with the command that `deploy/system.toml` gives its role.
    fn start(&self, role: &str, name: &str, settings: &str) -> io::Result<()> {
        let deploy = fs::read_to_string(self.root.join("deploy/system.toml"))?;
        let section = deploy.split(&format!("[roles.{role}]")).nth(1);
        let run = section.and_then(|s| s.split("run = \"").nth(1)?.split('"').next());
        let run = run.ok_or_else(|| io::Error::other("no command in deploy/system.toml"))?;
        let mut words = run.split(' ');
        let program = self.root.join(words.next().unwrap_or_default());
        let file = self.dir.join(format!("{name}.yaml"));
        fs::write(&file, settings)?;
        let log = File::create(self.dir.join(format!("{name}.log")))?;
        let child = Command::new(program)
            .args(words)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("SHALLOTHILL_SETTINGS", &file)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.children.lock().unwrap().insert(name.to_owned(), child);
        self.record.line(&format!("start {name}"));
        Ok(())
    }

    pub fn start_keeper(&self, i: usize, bootstrap: bool) -> io::Result<()> {
        let name = format!("core-{i}");
        let data = self.dir.join(format!("data-{i}"));
        fs::create_dir_all(&data)?;
        let mut fields = self.fields(&name, &self.keeper_ip(i), i);
        fields.push(("data_dir", format!("\"{}\"", data.display())));
        fields.push(("bootstrap", bootstrap.to_string()));
        let settings = self.render("deploy/keeper.yaml.tmpl", &fields)?;
        self.start("keeper", &name, &settings)
    }

    /// Removes what a keeper that was killed has stored.
    pub fn lose_disk(&self, i: usize) -> io::Result<()> {
        self.record.line(&format!("core-{i} loses its disk"));
        fs::remove_dir_all(self.dir.join(format!("data-{i}")))
    }

    pub fn start_node(&self, i: usize, service: &str) -> io::Result<()> {
        let name = format!("sidecar-{i}");
        let mut fields = self.fields(&name, &self.node_ip(i), i);
        fields.push(("service", format!("\"{service}\"")));
        let settings = self.render("deploy/node.yaml.tmpl", &fields)?;
        self.start("node", &name, &settings)
    }

    /// Starts all keepers and one node for each entry of `services`.
    pub fn start_all(&self, services: &[&str]) -> io::Result<()> {
        for i in 0..KEEPERS {
            self.start_keeper(i, true)?;
        }
        for (i, service) in services.iter().enumerate() {
            self.start_node(i, service)?;
        }
        Ok(())
    }

    /// Signals a process that this deployment started.
    pub fn signal(&self, name: &str, signal: i32) {
        let children = self.children.lock().unwrap();
        if let Some(child) = children.get(name) {
            unsafe { kill(child.id() as i32, signal) };
            self.record.line(&format!("signal {signal} to {name}"));
        }
    }

    pub fn kill(&self, name: &str) {
        if let Some(mut child) = self.children.lock().unwrap().remove(name) {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("killed {name}"));
        }
    }

    /// Whether a process has ended by itself.
    pub fn has_ended(&self, name: &str) -> bool {
        let mut children = self.children.lock().unwrap();
        let child = children.get_mut(name);
        child.is_none_or(|c| !matches!(c.try_wait(), Ok(None)))
    }

    pub fn any_ended(&self) -> Option<String> {
        let names: Vec<String> = self.children.lock().unwrap().keys().cloned().collect();
        names.into_iter().find(|n| self.has_ended(n))
    }

    /// Sends a configuration until it is confirmed, as the operator does.
    pub fn put_config(&self, base: u64, body: &str) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(20);
        let mut i = 0;
        while Instant::now() < until {
            let address = self.control(&self.keeper_ip(i % KEEPERS));
            i += 1;
            let base = format!("{base:08x}");
            let headers = [("X-Base-Version", base.as_str()), ("Content-Type", "application/json")];
            let call = Call::post("/rpc?call=config.put", &headers, body.as_bytes());
            match call.send(&address, Duration::from_secs(1)) {
                Ok(a) if a.status == 200 => return Ok(()),
                Ok(a) if (400..429).contains(&a.status) => {
                    return Err(io::Error::other(format!("config.put: {}", a.status)));
                }
                _ => thread::sleep(Duration::from_millis(100)),
            }
        }
        Err(io::Error::other("the configuration is not confirmed"))
    }

    pub fn wait_ready(&self, nodes: usize) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(20);
        for i in 0..nodes {
            let address = self.ready(&self.node_ip(i));
            loop {
                let call = Call::get("/ready", &[]);
                let ready = call.send(&address, Duration::from_secs(1));
                if ready.is_ok_and(|a| a.status == 200) {
                    break;
                }
                if Instant::now() > until {
                    return Err(io::Error::other("a node does not get ready"));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        Ok(())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for child in self.children.lock().unwrap().values_mut() {
            unsafe { kill(child.id() as i32, SIGCONT) };
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// A configuration with one row for each of `routes`: name, path prefix, type, service.
pub fn configuration(version: u64, routes: &[(&str, &str, &str, &str)], services: &[&str]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|(name, prefix, kind, service)| {
            format!(r#"["{name}","shop.example","{prefix}","{kind}",6000,2000,1,null,2,"{service}"]"#)
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|s| format!(r#"["{s}","/health",360,"h1",false]"#))
        .collect();
    format!(
        r#"{{"version":"{version:08x}","routes":{{"columns":["name","host","path_prefix","route_type","timeout_ms","target_latency_ms","priority","traffic_split","attempts","service"],"rows":[{}]}},"services":{{"columns":["name","health_path","max_connections","protocol","tls"],"rows":[{}]}},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.join(","),
        services.join(",")
    )
}

/// An HTTP message that was read: the words of its first line, its headers and its body.
#[derive(Clone, Debug)]
pub struct Message {
    pub first: Vec<String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads a message; a response may have no length and end with its connection.
    fn read(reader: &mut impl BufRead, is_response: bool) -> io::Result<Self> {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let first = line.split_whitespace().map(str::to_owned).collect();
        let mut headers = HashMap::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let Some((name, value)) = line.trim_end().split_once(':') else {
                break;
            };
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
        let mut body = Vec::new();
        if headers.get("transfer-encoding").is_some_and(|v| v == "chunked") {
            loop {
                let mut size = String::new();
                reader.read_line(&mut size)?;
                let size = size.trim().split(';').next().unwrap_or_default();
                let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
                let mut chunk = vec![0; size + 2];
                reader.read_exact(&mut chunk)?;
                if size == 0 {
                    break;
                }
                body.extend_from_slice(&chunk[..size]);
            }
        } else if let Some(length) = headers.get("content-length") {
            body = vec![0; length.parse().map_err(io::Error::other)?];
            reader.read_exact(&mut body)?;
        } else if is_response {
            reader.read_to_end(&mut body)?;
        }
        Ok(Self { first, headers, body })
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// A call on a connection of its own.
pub struct Call {
    head: String,
    body: Vec<u8>,
}

#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub message: Message,
}

impl Call {
    pub fn get(path: &str, headers: &[(&str, &str)]) -> Self {
        Self::new("GET", path, headers, &[])
    }

    pub fn post(path: &str, headers: &[(&str, &str)], body: &[u8]) -> Self {
        Self::new("POST", path, headers, body)
    }

    fn new(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Self {
        let mut head = format!("{method} {path} HTTP/1.1\r\n");
        if !headers.iter().any(|(n, _)| *n == "Host") {
            head.push_str("Host: control\r\n");
        }
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if method == "POST" {
            head.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        head.push_str("\r\n");
        Self {
            head,
            body: body.to_vec(),
        }
    }

    pub fn send(&self, address: &str, limit: Duration) -> io::Result<Answer> {
        self.send_in_pieces(address, limit, 1, Duration::ZERO)
    }

    /// Sends the body in `pieces` with a pause before each, as over a slow link.
    pub fn send_in_pieces(
        &self,
        address: &str,
        limit: Duration,
        pieces: usize,
        pause: Duration,
    ) -> io::Result<Answer> {
        let address: SocketAddr = address.parse().map_err(io::Error::other)?;
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1).min(limit))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        stream.set_write_timeout(Some(limit))?;
        stream.write_all(self.head.as_bytes())?;
        for piece in self.body.chunks(self.body.len().div_ceil(pieces).max(1)) {
            thread::sleep(pause);
            stream.write_all(piece)?;
        }
        let message = Message::read(&mut BufReader::new(stream), true)?;
        let status = message.first.get(1).and_then(|s| s.parse().ok());
        let status = status.ok_or_else(|| io::Error::other("no status"))?;
        Ok(Answer { status, message })
    }
}

/// A request that an endpoint ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub endpoint: String,
}

/// A sound endpoint: one request at a time on a connection, `SLOTS` at a time and a few queued.
pub struct Endpoint {
    pub id: String,
    pub service: String,
    pub address: String,
    pub control: String,
    pub born: u64,
    pub sequence: AtomicUsize,
    running: AtomicUsize,
    checks_in: AtomicBool,
    ended: AtomicBool,
    work: Duration,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

impl Endpoint {
    /// Starts an endpoint beside node `i`, with its check-ins.
    pub fn start(
        d: &Deployment,
        i: usize,
        service: &str,
        work: Duration,
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> io::Result<Arc<Self>> {
        let ip = d.node_ip(i);
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let this = Arc::new(Self {
            id: format!("i-{i}-{:x}", random(1 << 32)),
            service: service.to_owned(),
            address: d.app(&ip),
            control: d.control(&ip),
            born: now.map_or(1, |n| n.as_millis() as u64),
            sequence: AtomicUsize::new(0),
            running: AtomicUsize::new(0),
            checks_in: AtomicBool::new(true),
            ended: AtomicBool::new(false),
            work,
            runs: Arc::clone(runs),
            record: d.record.clone(),
        });
        let listener = TcpListener::bind(&this.address)?;
        let server = Arc::clone(&this);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.ended.load(Ordering::Relaxed) {
                    return;
                }
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(stream));
            }
        });
        let beats = Arc::clone(&this);
        thread::spawn(move || {
            while beats.checks_in.load(Ordering::Relaxed) {
                let _ = beats.check_in(&beats.check_in_body());
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(this)
    }

    /// The body of the next check-in.
    pub fn check_in_body(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        format!(
            r#"{{"address":"{}","born":{},"info":{{"service":"{}","version":"v1","zone":"ist-1","concurrency":{SLOTS}}},"status":{{"state":"ready","sequence":{sequence},"cold_remaining_ms":0}}}}"#,
            self.address, self.born, self.service
        )
    }

    pub fn check_in(&self, body: &str) -> io::Result<u16> {
        let path = format!("/rpc?call=instances.heartbeat&of={}", self.id);
        let headers = [("Content-Type", "application/json")];
        let call = Call::post(&path, &headers, body.as_bytes());
        Ok(call.send(&self.control, Duration::from_secs(1))?.status)
    }

    pub fn stop_check_ins(&self) {
        self.checks_in.store(false, Ordering::Relaxed);
    }

    pub fn deregister(&self) -> io::Result<u16> {
        let path = format!("/rpc?call=instances.deregister&of={}", self.id);
        let body = format!(r#"{{"born":{}}}"#, self.born);
        let headers = [("Content-Type", "application/json")];
        let call = Call::post(&path, &headers, body.as_bytes());
        Ok(call.send(&self.control, Duration::from_secs(2))?.status)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(message) = Message::read(&mut reader, false) {
            if self.answer(&mut writer, &message).is_err() {
                return;
            }
        }
    }

    fn answer(&self, writer: &mut TcpStream, message: &Message) -> io::Result<()> {
        let request = message.header("x-request-id");
        let mut reply = |status: &str, headers: &str, body: &str| {
            let id = if request.is_empty() {
                String::new()
            } else {
                format!("X-Request-Id: {request}\r\n")
            };
            let length = body.len();
            let head = format!("HTTP/1.1 {status}\r\n{id}{headers}Content-Length: {length}\r\n\r\n");
            writer.write_all(format!("{head}{body}").as_bytes())
        };
        if message.first.get(1).is_some_and(|p| p == "/health") {
            return reply("200 OK", &format!("X-Instance-Id: {}\r\n", self.id), "");
        }
        let expected = message.header("x-expected-instance");
        if !expected.is_empty() && expected != self.id {
            return reply("421 Misdirected Request", &format!("X-Instance-Id: {}\r\n", self.id), "");
        }
        if request.is_empty() {
            return reply("400 Bad Request", "X-Not-Executed: 1\r\n", "");
        }
        if self.running.fetch_add(1, Ordering::Relaxed) >= SLOTS + 5 {
            self.running.fetch_sub(1, Ordering::Relaxed);
            return reply("503 Service Unavailable", "X-Not-Executed: 1\r\n", "");
        }
        self.runs.lock().unwrap().push(Run {
            at: Instant::now(),
            id: request.to_owned(),
            endpoint: self.id.clone(),
        });
        let bytes = message.body.len();
        self.record
            .line(&format!("run {request} at {} ({bytes} bytes)", self.id));
        thread::sleep(self.work);
        self.running.fetch_sub(1, Ordering::Relaxed);
        reply("200 OK", "X-Response-Signature: 3e1b.07.5a2\r\n", request)
    }
}

/// A new request id.
pub fn new_id() -> String {
    format!("{:016x}", random(u64::MAX))
}

/// The repository, the folder of the case and whether the disruption is played.
pub fn arguments() -> (PathBuf, PathBuf, bool) {
    let mut words = std::env::args().skip(1);
    let root = PathBuf::from(words.next().expect("the repository"));
    let case = PathBuf::from(words.next().expect("the folder of the case"));
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    (root, case, trouble)
}
