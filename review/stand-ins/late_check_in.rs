//! A server leaves; its node is stopped and started again; a check-in from before arrives late.

use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, SIGTERM};
use crate::http;
use crate::record::Record;
use crate::server::Server;
use crate::Verdict;

const SERVICE: &str = "wuno96b";
const DRAIN_MS: u64 = 2500;
const STABLE_WINDOW_MS: u64 = 3000;
/// How late the check-in arrives.
const LATE: Duration = Duration::from_secs(4);
/// For how long the server serves after the confirmation that it leaves.
const SERVES_ON: Duration = Duration::from_secs(11);

const CONFIG: &str = r#"{"version":"00000001","routes":{"columns":["name","host","path_prefix","route_type","timeout_ms","target_latency_ms","priority","traffic_split","attempts","service"],"rows":[["r-2ctnfzs","jepu9.example","/lepu270/","idempotent",6000,2000,2,null,2,"wuno96b"]]},"services":{"columns":["name","health_path","max_connections","protocol","tls"],"rows":[["wuno96b","/health",360,"h1",false]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

pub fn play(root: &Path, record: &Record, trouble: bool) -> Verdict {
    match try_play(root, record, trouble) {
        Ok(verdict) => verdict,
        Err(e) => Verdict::CouldNotRun(e.to_string()),
    }
}

/// When each request was sent, by its id.
type Sent = Arc<Mutex<Vec<(String, u64)>>>;

fn try_play(root: &Path, record: &Record, trouble: bool) -> io::Result<Verdict> {
    let mut fleet = Fleet::start(root, &[SERVICE, SERVICE], record)?;
    if !fleet.put_config(0, CONFIG, Duration::from_secs(30))
        || !fleet.wait_ready(Duration::from_secs(20))
    {
        return Ok(Verdict::CouldNotRun("the fleet does not serve".to_owned()));
    }
    let work = Duration::from_millis(20);
    let mut servers = Vec::new();
    for (n, machine) in fleet.side.iter().enumerate() {
        let id = format!("i-7f3a91c{n}");
        let server = Server::start(&id, SERVICE, machine.app(), machine.control(), work, record)?;
        server.keep_beating();
        servers.push(server);
    }
    let (leaving, other) = (Arc::clone(&servers[0]), Arc::clone(&servers[1]));

    // A client beside the other server.
    let sent: Sent = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let number = Arc::new(AtomicU64::new(0));
    let address = fleet.side[1].outbound();
    let client = {
        let (sent, stop, record) = (Arc::clone(&sent), Arc::clone(&stop), record.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let id = format!(
                    "{:016x}",
                    0x9c41_d07b_0000_0000 + number.fetch_add(1, Ordering::SeqCst)
                );
                let headers = [
                    ("Host", "jepu9.example"),
                    ("X-Request-Id", id.as_str()),
                    ("X-Deadline-Ms", "6000"),
                    ("Connection", "close"),
                ];
                sent.lock().unwrap().push((id.clone(), record.now()));
                record.line(format!("client beside sidecar-1 sends request {id}"));
                let answer = http::call(
                    address,
                    "GET /lepu270/2f",
                    &headers,
                    b"",
                    Duration::from_secs(6),
                );
                let status = answer.map_or(0, |a| a.status());
                record.line(format!(
                    "client beside sidecar-1 gets {status} for request {id}"
                ));
                thread::sleep(Duration::from_millis(50));
            }
        })
    };
    let end = Instant::now() + Duration::from_secs(20);
    while leaving.runs().len() < 10 || other.runs().len() < 10 {
        if Instant::now() > end {
            stop.store(true, Ordering::SeqCst);
            let _ = client.join();
            return Ok(Verdict::CouldNotRun("a server gets no requests".to_owned()));
        }
        thread::sleep(Duration::from_millis(50));
    }
    // The core has been stable for its window by now.
    thread::sleep(Duration::from_millis(STABLE_WINDOW_MS));

    leaving.stop_beating();
    let check_in = leaving.compose("ready");
    record.line(format!(
        "server {} sends a check-in, which is held up: {check_in}",
        leaving.id
    ));
    let held_up = Instant::now();
    thread::sleep(Duration::from_millis(300));
    if !leaving.deregister() {
        stop.store(true, Ordering::SeqCst);
        let _ = client.join();
        return Ok(Verdict::CouldNotRun(
            "the server's leave is not acknowledged".to_owned(),
        ));
    }
    let (acked, acked_ms) = (Instant::now(), record.now());
    record.line(format!(
        "server {} has left: sidecar-0 confirms with 200",
        leaving.id
    ));

    let mut started_ms = acked_ms;
    if trouble {
        thread::sleep(Duration::from_millis(300));
        record.line("SIGTERM to sidecar-0");
        fleet.side[0].signal(SIGTERM);
        if !fleet.side[0].wait_ended(Duration::from_secs(6)) {
            return Ok(Verdict::CouldNotRun(
                "the node does not stop in its grace time".to_owned(),
            ));
        }
        record.line("sidecar-0 has ended");
        fleet.spawn_side(0)?;
        started_ms = record.now();
    }
    thread::sleep((held_up + LATE).saturating_duration_since(Instant::now()));
    let taken = leaving.deliver(&check_in);
    record.line(format!(
        "the check-in arrives at sidecar-0, {LATE:?} late; acknowledged: {taken}"
    ));

    thread::sleep((acked + SERVES_ON).saturating_duration_since(Instant::now()));
    leaving.stop();
    record.line(format!("server {} ends", leaving.id));
    stop.store(true, Ordering::SeqCst);
    let _ = client.join();
    other.stop();

    // Both machines are in touch again a stable window after the start.
    let judged_from = (acked_ms + DRAIN_MS).max(started_ms + STABLE_WINDOW_MS);
    let sent = sent.lock().unwrap().clone();
    let runs = leaving.runs();
    let late: Vec<_> = runs
        .iter()
        .filter(|r| r.at_ms > judged_from)
        .filter(|r| {
            sent.iter()
                .any(|(id, at)| *id == r.request && *at > judged_from)
        })
        .collect();
    record.line(format!(
        "confirmed at {acked_ms} ms; requests sent and run by {} after {judged_from} ms: {}",
        leaving.id,
        late.len()
    ));
    for line in fleet
        .log_of_side(0)
        .lines()
        .filter(|l| l.contains("gate: ") && l.contains(&leaving.id))
        .filter(|l| l.contains("announce") || l.contains("withdrawn"))
    {
        record.line(format!("log of sidecar-0: {line}"));
    }
    Ok(if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
