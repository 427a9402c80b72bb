//! An endpoint leaves with a confirmation; then a check-in of another writer, with fields missing,
//! names it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::endpoint::Endpoint;
use crate::fleet::{Fleet, Machine};
use crate::http::{self, Call};
use crate::record::Record;
use crate::{CaseResult, Verdict, trouble};

/// `DRAIN` is `drain_ms`.
const DRAIN: Duration = Duration::from_millis(2500);

/// `SERVES_ON` is how long the endpoint serves after the confirmation, "at times many seconds" longer
/// than `drain_ms`.
const SERVES_ON: Duration = Duration::from_secs(10);

/// `WRITES_AFTER` is when the other writer's check-in arrives.
const WRITES_AFTER: Duration = Duration::from_secs(1);

const WORK: Duration = Duration::from_millis(200);

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

pub fn play(record: &Record) -> CaseResult {
    let mut fleet = Fleet::new(record, 1)?;
    let core: Vec<Machine> = (0..3).map(|i| fleet.keeper(i as u8 + 1, i)).collect();
    let nodes: Vec<Machine> = (0..3).map(|i| fleet.node(i as u8 + 1, i)).collect();
    for m in core.iter().chain(&nodes) {
        fleet.start(m, true)?;
    }
    let endpoints = start_endpoints(&fleet, &nodes)?;
    fleet.put_first_config(&core)?;
    for m in &nodes {
        fleet.wait_ready(m)?;
    }
    let stop = Arc::new(AtomicBool::new(false));
    for m in &nodes {
        for _ in 0..3 {
            consume(fleet.outbound(m), Arc::clone(&stop), record);
        }
    }
    // Longer than `stable_window_ms`, so that all machines are in touch.
    thread::sleep(Duration::from_secs(6));
    if endpoints.iter().any(|e| e.arrivals().is_empty()) {
        return Err("not every endpoint gets requests before the departure".to_owned());
    }
    let leaving = &endpoints[0];
    leaving.stop_reporting();
    let status = leaving.deregister().map_err(|e| e.to_string())?;
    let confirmed = Instant::now();
    record.note(&format!("{} deregisters -> {status}", leaving.id));
    if status != 200 {
        return Err("the departure is not confirmed".to_owned());
    }
    thread::sleep(WRITES_AFTER);
    if trouble() {
        // `born`, `version`, `zone` and `cold_remaining_ms` are missing.
        let body = format!(
            "{{\"address\":\"{}\",\"info\":{{\"service\":\"{}\",\"concurrency\":7}},\
             \"status\":{{\"state\":\"ready\",\"sequence\":1}}}}",
            leaving.address, leaving.service
        );
        let status = leaving.call_node("instances.heartbeat", &body);
        record.note(&format!(
            "another writer's check-in for {} -> {status:?}",
            leaving.id
        ));
    }
    thread::sleep(SERVES_ON.saturating_sub(confirmed.elapsed()));
    stop.store(true, Ordering::Relaxed);
    let arrivals = leaving.arrivals();
    let late: Vec<_> = arrivals
        .iter()
        .filter(|a| a.at > confirmed + DRAIN)
        .collect();
    for a in &late {
        let after = (a.at - confirmed).as_secs_f64();
        record.line(&format!(
            "{} reached {} {after:.3} s after its confirmation",
            a.request, leaving.id
        ));
    }
    let line = format!(
        "{} of {} requests reached {} later than drain_ms after the confirmation",
        late.len(),
        arrivals.len(),
        leaving.id
    );
    record.note(&line);
    Ok(if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

/// `start_endpoints` starts an endpoint beside each node.
pub fn start_endpoints(fleet: &Fleet, nodes: &[Machine]) -> Result<Vec<Arc<Endpoint>>, String> {
    let start = |(i, m): (usize, &Machine)| {
        let id = format!("i-{:08x}", 0x7f3a91c2 + i);
        let (app, control) = (fleet.app(m), fleet.control(m));
        Endpoint::start(&id, m.service, app, control, WORK, &fleet.record)
    };
    let endpoints: Result<Vec<_>, _> = nodes.iter().enumerate().map(start).collect();
    endpoints.map_err(|e| format!("an endpoint does not start: {e}"))
}

// A consumer that sends one request after the other, every second one to be run once at most.
fn consume(address: std::net::SocketAddr, stop: Arc<AtomicBool>, record: &Record) {
    let record = record.clone();
    thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            let number = NEXT_REQUEST.fetch_add(1, Ordering::Relaxed);
            let status = send_one(address, number).map(|r| r.status);
            record.line(&format!("request {number:016x} at {address} -> {status:?}"));
            thread::sleep(Duration::from_millis(50));
        }
    });
}

/// `send_one` sends a consumer's request on a connection of its own.
pub fn send_one(address: std::net::SocketAddr, number: u64) -> std::io::Result<http::Reply> {
    let id = format!("{number:016x}");
    let books = number % 2 == 0;
    let host = if books {
        "book.example"
    } else {
        "read.example"
    };
    let headers = [
        ("Host", host),
        ("X-Request-Id", id.as_str()),
        ("X-Deadline-Ms", "3000"),
    ];
    let call = Call {
        method: if books { "POST" } else { "GET" },
        path: if books { "/book/1" } else { "/read/1" },
        headers: &headers,
        body: if books { b"two seats" } else { b"" },
    };
    http::call(address, &call, Duration::from_secs(3))
}
