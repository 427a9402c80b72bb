//! Hundreds of changes of a configuration with many routes, under the keepers' memory limit.

use std::fs;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, SIGKILL};
use crate::http;
use crate::record::Record;
use crate::Verdict;

const SERVICE: &str = "wuno96b";
/// `memory_mb` of a core machine.
const MEMORY_MB: u64 = 256;
const ROUTES: usize = 1400;
/// The routes of the configuration with TROUBLE=0.
const FEW_ROUTES: usize = 40;
const MAX_CHANGES: u64 = 900;
const CHANGES_FOR: Duration = Duration::from_secs(90);
const RECOVERY: Duration = Duration::from_secs(15);
const RESTART_AFTER: Duration = Duration::from_millis(500);

pub fn play(root: &Path, record: &Record, trouble: bool) -> Verdict {
    match try_play(root, record, trouble) {
        Ok(verdict) => verdict,
        Err(e) => Verdict::CouldNotRun(e.to_string()),
    }
}

// A version changes the time-outs of the first and of the last route.
fn document(version: u64, routes: usize) -> String {
    let timeout = |n: usize| {
        let changed = n == 0 || n + 1 == routes;
        if changed {
            6000 + version
        } else {
            6000
        }
    };
    let rows: Vec<String> = (0..routes)
        .map(|n| {
            format!(
                "[\"r-{n:05}\",\"jepu{}.example\",\"/lepu{n:05}/ny95/\",\"idempotent\",{},2000,2,null,2,\"{SERVICE}\"]",
                n % 50,
                timeout(n)
            )
        })
        .collect();
    format!(
        "{{\"version\":\"{version:08x}\",\"routes\":{{\"columns\":[\"name\",\"host\",\"path_prefix\",\"route_type\",\
         \"timeout_ms\",\"target_latency_ms\",\"priority\",\"traffic_split\",\"attempts\",\"service\"],\"rows\":[{}]}},\
         \"services\":{{\"columns\":[\"name\",\"health_path\",\"max_connections\",\"protocol\",\"tls\"],\
         \"rows\":[[\"{SERVICE}\",\"/health\",360,\"h1\",false]]}},\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        rows.join(",")
    )
}

// The anonymous memory of a process, without its program and other files.
fn memory_mb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("RssAnon:"));
    let kb = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<u64>().ok());
    kb.unwrap_or(0) / 1024
}

// The platform: kills a keeper that is over its memory limit and starts ended ones after a short delay.
fn enforce_limits(
    fleet: &Arc<Mutex<Fleet>>,
    stop: &Arc<AtomicBool>,
    kills: &Arc<Vec<AtomicU64>>,
    record: &Record,
) -> thread::JoinHandle<()> {
    let (fleet, stop) = (Arc::clone(fleet), Arc::clone(stop));
    let (kills, record) = (Arc::clone(kills), record.clone());
    thread::spawn(move || {
        let mut ended: Vec<Option<Instant>> = vec![None; kills.len()];
        while !stop.load(Ordering::SeqCst) {
            for n in 0..kills.len() {
                let mut fleet = fleet.lock().unwrap();
                if let Some(at) = ended[n] {
                    if at.elapsed() >= RESTART_AFTER && fleet.spawn_core(n).is_ok() {
                        ended[n] = None;
                    }
                    continue;
                }
                let memory = memory_mb(fleet.core[n].pid());
                if memory > MEMORY_MB {
                    record.line(format!("core-{n} uses {memory} MB and is killed"));
                    kills[n].fetch_add(1, Ordering::SeqCst);
                    fleet.core[n].signal(SIGKILL);
                    fleet.core[n].wait_ended(Duration::from_secs(2));
                    ended[n] = Some(Instant::now());
                } else if fleet.core[n].has_ended() {
                    record.line(format!("core-{n} has ended by itself"));
                    kills[n].fetch_add(1, Ordering::SeqCst);
                    fleet.core[n].wait_ended(Duration::from_secs(2));
                    ended[n] = Some(Instant::now());
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
    })
}

fn read_config(address: std::net::SocketAddr) -> u16 {
    let host = address.to_string();
    let headers = [("Host", host.as_str()), ("Connection", "close")];
    let answer = http::call(
        address,
        "POST /rpc?call=config.get",
        &headers,
        b"",
        Duration::from_secs(2),
    );
    answer.map_or(0, |a| a.status())
}

fn try_play(root: &Path, record: &Record, trouble: bool) -> io::Result<Verdict> {
    let routes = if trouble { ROUTES } else { FEW_ROUTES };
    let fleet = Fleet::start(root, &[SERVICE], record)?;
    let addresses: Vec<_> = fleet.core.iter().map(|m| m.control()).collect();
    if !fleet.put_config(0, &document(1, routes), Duration::from_secs(30)) {
        return Ok(Verdict::CouldNotRun(
            "the first configuration is not accepted".to_owned(),
        ));
    }
    let kills: Arc<Vec<AtomicU64>> =
        Arc::new(addresses.iter().map(|_| AtomicU64::new(0)).collect());
    let fleet = Arc::new(Mutex::new(fleet));
    let stop = Arc::new(AtomicBool::new(false));
    let platform = enforce_limits(&fleet, &stop, &kills, record);

    let end = Instant::now() + CHANGES_FOR;
    let (mut version, mut acked, mut at) = (1, Instant::now(), 0);
    while Instant::now() < end && version < MAX_CHANGES && acked.elapsed() < Duration::from_secs(12)
    {
        let body = document(version + 1, routes);
        let base = format!("{version:08x}");
        let address = addresses[at % addresses.len()];
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
            Duration::from_secs(3),
        );
        let status = answer.map_or(0, |a| a.status());
        if status == 200 {
            version += 1;
            acked = Instant::now();
            if version % 50 == 0 {
                let fleet = fleet.lock().unwrap();
                let used: Vec<u64> = fleet.core.iter().map(|m| memory_mb(m.pid())).collect();
                record.line(format!(
                    "operator: version {version} is acknowledged; the keepers use {used:?} MB"
                ));
            }
        } else {
            record.line(format!(
                "operator: version {} at {address}: {status}",
                version + 1
            ));
            at += 1;
            thread::sleep(Duration::from_millis(200));
        }
    }
    record.line(format!(
        "operator: {version} versions were acknowledged, the last one {:?} ago",
        acked.elapsed()
    ));

    // Reads back what was acknowledged, at any node.
    let end = Instant::now() + RECOVERY;
    let mut read = None;
    while read.is_none() && Instant::now() < end {
        for address in &addresses {
            let status = read_config(*address);
            record.line(format!("operator: config.get at {address}: {status}"));
            if status == 200 {
                read = Some(*address);
                break;
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    stop.store(true, Ordering::SeqCst);
    let _ = platform.join();
    let kills: Vec<u64> = kills.iter().map(|k| k.load(Ordering::SeqCst)).collect();
    let often = kills.iter().filter(|k| **k >= 3).count();
    record.line(format!(
        "times that each keeper ended: {kills:?}; the configuration can be read back: {}",
        read.is_some()
    ));
    let fault = 2 * often >= kills.len();
    Ok(if read.is_none() || fault {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
