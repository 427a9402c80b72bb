//! A request crashes each server that runs it and comes again, beside requests whose bodies begin alike.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::Fleet;
use crate::http;
use crate::record::Record;
use crate::server::{Poison, Run, Server};
use crate::Verdict;

const SERVICE: &str = "wuno96b";
const OTHER_SERVICE: &str = "huvo11a";
/// The end of the body that crashes servers, and that of the other bodies.
const CRASHING_END: &str = "note: crash";
const USUAL_END: &str = "note: usual";
const PATH: &str = "/lepu270/2f";
const STABLE_WINDOW_MS: u64 = 3000;
/// The time after which a crashed server is back.
const BACK_AFTER: Duration = Duration::from_secs(3);
/// The time for which the request comes again, and the pause between two of its attempts.
const COMES_FOR: Duration = Duration::from_secs(25);
const COMES_EACH: Duration = Duration::from_millis(1000);
const ALLOWED_RETRIES: usize = 3;
const USUAL_CLIENTS: usize = 2;

const CONFIG: &str = r#"{"version":"00000001","routes":{"columns":["name","host","path_prefix","route_type","timeout_ms","target_latency_ms","priority","traffic_split","attempts","service"],"rows":[["r-2ctnfzs","jepu9.example","/lepu270/","idempotent",6000,2000,2,null,2,"wuno96b"]]},"services":{"columns":["name","health_path","max_connections","protocol","tls"],"rows":[["huvo11a","/health",360,"h1",false],["wuno96b","/health",360,"h1",false]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

pub fn play(root: &Path, record: &Record, trouble: bool) -> Verdict {
    match try_play(root, record, trouble) {
        Ok(verdict) => verdict,
        Err(e) => Verdict::CouldNotRun(e.to_string()),
    }
}

/// The servers of the service, past and present.
type Servers = Arc<Mutex<Vec<Arc<Server>>>>;

/// A form of 2 KB: the fixed part comes first, the note last.
fn body(end: &str) -> Vec<u8> {
    let mut body = "field: fixed text of the form\n".repeat(66).into_bytes();
    body.extend_from_slice(end.as_bytes());
    body
}

fn send(address: SocketAddr, id: &str, end: &str, record: &Record) -> u16 {
    let headers = [
        ("Host", "jepu9.example"),
        ("X-Request-Id", id),
        ("X-Deadline-Ms", "6000"),
        ("Connection", "close"),
    ];
    record.line(format!("client sends request {id} ({end})"));
    let limit = Duration::from_secs(7);
    let answer = http::call(
        address,
        &format!("POST {PATH}"),
        &headers,
        &body(end),
        limit,
    );
    let status = answer.map_or(0, |a| a.status());
    record.line(format!("client gets {status} for request {id}"));
    status
}

// Starts a crashed server again after some seconds, as a new boot.
fn keep_back(
    servers: &Servers,
    stop: &Arc<AtomicBool>,
    sides: Vec<(SocketAddr, SocketAddr)>,
    poison: Option<Poison>,
    record: &Record,
) -> thread::JoinHandle<()> {
    let (servers, stop, record) = (Arc::clone(servers), Arc::clone(stop), record.clone());
    thread::spawn(move || {
        let mut current: Vec<Option<Arc<Server>>> = vec![None; sides.len()];
        let mut ended: Vec<Option<Instant>> = vec![None; sides.len()];
        let mut boots = 0;
        while !stop.load(Ordering::SeqCst) {
            for (n, (app, control)) in sides.iter().enumerate() {
                match &current[n] {
                    Some(server) if !server.has_ended() => continue,
                    Some(_) if ended[n].is_none() => ended[n] = Some(Instant::now()),
                    _ => {}
                }
                if ended[n].is_some_and(|at| at.elapsed() < BACK_AFTER) {
                    continue;
                }
                boots += 1;
                let id = format!("i-7f3a9{boots:03x}");
                let work = Duration::from_millis(20);
                if let Ok(server) = Server::start(&id, SERVICE, *app, *control, work, &record) {
                    record.line(format!("server {id} starts at {app}"));
                    if let Some(poison) = &poison {
                        server.set_poison(poison.clone());
                    }
                    server.keep_beating();
                    servers.lock().unwrap().push(Arc::clone(&server));
                    current[n] = Some(server);
                    ended[n] = None;
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
    })
}

fn try_play(root: &Path, record: &Record, trouble: bool) -> io::Result<Verdict> {
    let fleet = Fleet::start(
        root,
        &[OTHER_SERVICE, SERVICE, SERVICE, SERVICE, SERVICE],
        record,
    )?;
    if !fleet.put_config(0, CONFIG, Duration::from_secs(30))
        || !fleet.wait_ready(Duration::from_secs(20))
    {
        return Ok(Verdict::CouldNotRun("the fleet does not serve".to_owned()));
    }
    let servers: Servers = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let sides = fleet.side[1..]
        .iter()
        .map(|m| (m.app(), m.control()))
        .collect();
    let poison = trouble.then(|| Poison {
        body: body(CRASHING_END),
    });
    let keeper = keep_back(&servers, &stop, sides, poison, record);

    // Clients on the same machine send other requests on the route all the while.
    let address = fleet.side[0].outbound();
    let number = Arc::new(AtomicU64::new(0));
    let others: Vec<_> = (0..USUAL_CLIENTS)
        .map(|_| {
            let (stop, number, record) = (Arc::clone(&stop), Arc::clone(&number), record.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let id = format!("aaaa{:012x}", number.fetch_add(1, Ordering::SeqCst));
                    send(address, &id, USUAL_END, &record);
                    thread::sleep(Duration::from_millis(200));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(3000 + STABLE_WINDOW_MS));

    let end = Instant::now() + COMES_FOR;
    let mut n = 0;
    while Instant::now() < end {
        n += 1;
        send(address, &format!("cccc{n:012x}"), CRASHING_END, record);
        thread::sleep(COMES_EACH);
    }
    stop.store(true, Ordering::SeqCst);
    for other in others {
        let _ = other.join();
    }
    let _ = keeper.join();
    let servers = servers.lock().unwrap().clone();
    let mut runs: Vec<Run> = servers
        .iter()
        .flat_map(|s| s.runs())
        .filter(|r| r.request.starts_with("cccc"))
        .collect();
    runs.sort_by_key(|r| r.at_ms);
    for server in &servers {
        server.stop();
    }
    let Some(third) = runs.get(2).filter(|_| trouble).map(|r| r.at_ms) else {
        record.line(format!(
            "runs of the request: {}; crashes: none or fewer than three",
            runs.len()
        ));
        return Ok(Verdict::Held);
    };
    let from = third + STABLE_WINDOW_MS;
    let mut retries: Vec<&str> = runs
        .iter()
        .filter(|r| r.at_ms > from)
        .map(|r| r.request.as_str())
        .collect();
    retries.dedup();
    record.line(format!(
        "the request came {n} times and crashed {} servers, the third at {third} ms",
        runs.len()
    ));
    record.line(format!(
        "retries that reached a server after {from} ms: {} ({ALLOWED_RETRIES} allowed)",
        retries.len()
    ));
    Ok(if retries.len() > ALLOWED_RETRIES {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
