//! A planned stop of a node while clients have sent a second request on a kept connection.

use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, SIGTERM};
use crate::http;
use crate::record::Record;
use crate::server::Server;
use crate::Verdict;

const SERVICE: &str = "wuno96b";
const STABLE_WINDOW: Duration = Duration::from_secs(3);
const GRACE: Duration = Duration::from_secs(6);
/// How long the server works on a request.
const WORK: Duration = Duration::from_millis(700);
const CLIENTS: usize = 3;

const CONFIG: &str = r#"{"version":"00000001","routes":{"columns":["name","host","path_prefix","route_type","timeout_ms","target_latency_ms","priority","traffic_split","attempts","service"],"rows":[["r-2ctnfzs","jepu9.example","/lepu270/","idempotent",6000,2000,2,null,2,"wuno96b"]]},"services":{"columns":["name","health_path","max_connections","protocol","tls"],"rows":[["wuno96b","/health",360,"h1",false]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

pub fn play(root: &Path, record: &Record, trouble: bool) -> Verdict {
    match try_play(root, record, trouble) {
        Ok(verdict) => verdict,
        Err(e) => Verdict::CouldNotRun(e.to_string()),
    }
}

/// Sends two requests on one connection, the second 100 ms after the first, and reads the answers.
/// Returns the ids and whether each was answered in full.
fn send_two(
    address: SocketAddr,
    client: usize,
    record: &Record,
) -> io::Result<Vec<(String, bool)>> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(7)))?;
    let mut writer = stream.try_clone()?;
    let ids: Vec<String> = (1..=2)
        .map(|n| format!("9c41d07b0000{client:02x}{n:02x}"))
        .collect();
    for (n, id) in ids.iter().enumerate() {
        if n > 0 {
            thread::sleep(Duration::from_millis(100));
        }
        let headers = [
            ("Host", "jepu9.example"),
            ("X-Request-Id", id.as_str()),
            ("X-Deadline-Ms", "6000"),
        ];
        record.line(format!("client {client} sends request {id}"));
        http::write_message(&mut writer, "GET /lepu270/2f HTTP/1.1", &headers, b"")?;
    }
    let mut reader = BufReader::new(stream);
    let mut ended = Vec::new();
    for id in ids {
        let (text, whole) = match http::read_message(&mut reader) {
            Ok(Some(a)) => {
                let close = a.header("connection").unwrap_or_default().to_owned();
                (format!("{} (Connection: {close})", a.status()), true)
            }
            Ok(None) => ("the end of the connection".to_owned(), false),
            Err(e) => (e.to_string(), false),
        };
        record.line(format!("client {client} gets {text} for request {id}"));
        ended.push((id, whole));
    }
    Ok(ended)
}

fn try_play(root: &Path, record: &Record, trouble: bool) -> io::Result<Verdict> {
    let mut fleet = Fleet::start(root, &[SERVICE, SERVICE], record)?;
    if !fleet.put_config(0, CONFIG, Duration::from_secs(30))
        || !fleet.wait_ready(Duration::from_secs(20))
    {
        return Ok(Verdict::CouldNotRun("the fleet does not serve".to_owned()));
    }
    let mut servers = Vec::new();
    for (n, machine) in fleet.side.iter().enumerate() {
        let id = format!("i-7f3a91c{n}");
        let server = Server::start(&id, SERVICE, machine.app(), machine.control(), WORK, record)?;
        server.keep_beating();
        servers.push(server);
    }
    let address = fleet.side[0].outbound();
    let end = Instant::now() + Duration::from_secs(20);
    while servers.iter().any(|s| s.runs().len() < 2) {
        if Instant::now() > end {
            return Ok(Verdict::CouldNotRun("a server gets no requests".to_owned()));
        }
        let headers = [
            ("Host", "jepu9.example"),
            ("X-Request-Id", "9c41d07bffffffff"),
            ("X-Deadline-Ms", "6000"),
            ("Connection", "close"),
        ];
        let _ = http::call(
            address,
            "GET /lepu270/2f",
            &headers,
            b"",
            Duration::from_secs(6),
        );
    }
    thread::sleep(STABLE_WINDOW);

    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let record = record.clone();
            thread::spawn(move || send_two(address, n, &record))
        })
        .collect();
    if trouble {
        thread::sleep(Duration::from_millis(300));
        record.line("SIGTERM to sidecar-0");
        fleet.side[0].signal(SIGTERM);
    }
    let mut lost = Vec::new();
    for client in clients {
        let ended = client
            .join()
            .map_err(|_| io::Error::other("a client failed"))??;
        lost.extend(
            ended
                .into_iter()
                .filter(|(_, whole)| !whole)
                .map(|(id, _)| id),
        );
    }
    if trouble && !fleet.side[0].wait_ended(GRACE) {
        return Ok(Verdict::CouldNotRun(
            "the node does not stop in its grace time".to_owned(),
        ));
    }
    let reached = |id: &String| {
        servers
            .iter()
            .flat_map(|s| s.runs())
            .any(|r| r.request == *id)
    };
    let passed_on = lost.iter().filter(|id| reached(id)).count();
    record.line(format!(
        "requests whose connection ended without an answer: {}; of these passed on to a server: {passed_on}",
        lost.len()
    ));
    Ok(if passed_on > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
