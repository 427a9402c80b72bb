//! A planned stop of a node while requests that it has taken wait for a slot of a busy server.

use std::io;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, SIGTERM};
use crate::http;
use crate::record::Record;
use crate::server::Server;
use crate::Verdict;

const SERVICE: &str = "wuno96b";
const OTHER_SERVICE: &str = "huvo11a";
const STABLE_WINDOW: Duration = Duration::from_secs(3);
const GRACE: Duration = Duration::from_secs(6);
/// How long the server works on a request; it runs one at a time.
const WORK: Duration = Duration::from_millis(4000);
const REQUESTS: usize = 4;

const CONFIG: &str = r#"{"version":"00000001","routes":{"columns":["name","host","path_prefix","route_type","timeout_ms","target_latency_ms","priority","traffic_split","attempts","service"],"rows":[["r-989anu6","hulo84.example","/xapu221/ny95/","non_idempotent",20000,8000,1,null,2,"wuno96b"]]},"services":{"columns":["name","health_path","max_connections","protocol","tls"],"rows":[["huvo11a","/health",360,"h1",false],["wuno96b","/health",360,"h1",false]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

pub fn play(root: &Path, record: &Record, trouble: bool) -> Verdict {
    match try_play(root, record, trouble) {
        Ok(verdict) => verdict,
        Err(e) => Verdict::CouldNotRun(e.to_string()),
    }
}

fn send(address: std::net::SocketAddr, id: &str, record: &Record) -> Option<u16> {
    let headers = [
        ("Host", "hulo84.example"),
        ("X-Request-Id", id),
        ("X-Deadline-Ms", "20000"),
        ("Connection", "close"),
    ];
    record.line(format!("client beside sidecar-0 sends request {id}"));
    let limit = Duration::from_secs(21);
    let answer = http::call(
        address,
        "POST /xapu221/ny95/2f",
        &headers,
        b"booking",
        limit,
    );
    match answer {
        Ok(a) => {
            record.line(format!(
                "client beside sidecar-0 gets {} for request {id}",
                a.status()
            ));
            Some(a.status())
        }
        Err(e) => {
            record.line(format!(
                "client beside sidecar-0 gets no answer for request {id}: {e}"
            ));
            None
        }
    }
}

fn try_play(root: &Path, record: &Record, trouble: bool) -> io::Result<Verdict> {
    let mut fleet = Fleet::start(root, &[OTHER_SERVICE, SERVICE], record)?;
    if !fleet.put_config(0, CONFIG, Duration::from_secs(30))
        || !fleet.wait_ready(Duration::from_secs(20))
    {
        return Ok(Verdict::CouldNotRun("the fleet does not serve".to_owned()));
    }
    let mut servers = Vec::new();
    for (n, machine) in fleet.side.iter().enumerate() {
        let id = format!("i-7f3a91c{n}");
        let service = if n == 0 { OTHER_SERVICE } else { SERVICE };
        let server = Server::start(&id, service, machine.app(), machine.control(), WORK, record)?;
        server.set_concurrency(1);
        server.keep_beating();
        servers.push(server);
    }
    let address = fleet.side[0].outbound();
    let end = Instant::now() + Duration::from_secs(20);
    let mut n = 0;
    loop {
        n += 1;
        if send(address, &format!("9c41d07bffff{n:04x}"), record) == Some(200) {
            break;
        }
        if Instant::now() > end {
            return Ok(Verdict::CouldNotRun(
                "the server gets no requests".to_owned(),
            ));
        }
        thread::sleep(Duration::from_millis(200));
    }
    thread::sleep(STABLE_WINDOW);

    let clients: Vec<_> = (0..REQUESTS)
        .map(|n| {
            let (record, id) = (record.clone(), format!("9c41d07b0000{n:04x}"));
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(50 * n as u64));
                let status = send(address, &id, &record);
                (id, status)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    if trouble {
        record.line("SIGTERM to sidecar-0");
        fleet.side[0].signal(SIGTERM);
        if !fleet.side[0].wait_ended(GRACE) {
            return Ok(Verdict::CouldNotRun(
                "the node does not stop in its grace time".to_owned(),
            ));
        }
        record.line("sidecar-0 has ended");
    }
    let mut unanswered = Vec::new();
    for client in clients {
        let (id, status) = client
            .join()
            .map_err(|_| io::Error::other("a client failed"))?;
        if status.is_none() {
            unanswered.push(id);
        }
    }
    // A server that is at work on a request at the end of the grace time excuses that request only.
    let at_work = |id: &String| servers[1].runs().iter().any(|r| r.request == *id);
    let queued = unanswered.iter().filter(|id| !at_work(id)).count();
    record.line(format!(
        "requests without an answer: {}; of these never passed on to a server: {queued}",
        unanswered.len()
    ));
    Ok(if queued > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
