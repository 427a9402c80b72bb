//! A check-in of another writer, with fields missing, for an endpoint that leaves.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::endpoint::Endpoint;
use crate::fleet;
use crate::fleet::Fleet;
use crate::http;
use crate::record::Record;

/// `WORK` is how long the endpoints work on a request.
const WORK: Duration = Duration::from_millis(20);

/// `PAUSE` is the time between two requests of the consumer.
const PAUSE: Duration = Duration::from_millis(50);

/// `CALM` is the time before the check-in of another writer.
const CALM: Duration = Duration::from_secs(6);

/// `WATCHED` is the time after the confirmation in which the endpoint still serves.
const WATCHED: Duration = Duration::from_secs(12);

/// `run` sends requests while one of two endpoints drains.
pub fn run(root: &Path, trouble: bool, record: &Arc<Record>) -> io::Result<Verdict> {
    let fleet = Fleet::start(root, 3, &["front", "desk", "desk"], record)?;
    let start = |i: usize, service: &str| {
        let node = &fleet.nodes[i];
        let id = format!("i-{service}-{i}");
        let zone = format!("z-{}", i + 1);
        Endpoint::start(
            (&id, service, &zone),
            node.app(),
            node.control(),
            WORK,
            record,
        )
    };
    let _front = start(0, "front")?;
    let leaving = start(1, "desk")?;
    let _staying = start(2, "desk")?;
    let routes = [fleet::route("r-desk", "/desk/", "idempotent", "desk")];
    fleet.put_config("0", &fleet::config("00000001", &routes, &["front", "desk"]))?;
    fleet.wait_ready()?;
    let mut sent = 0;
    send_for(&fleet, CALM, &mut sent, record);
    if trouble {
        let status = send_foreign_check_in(&leaving)?;
        record.line(format!(
            "the check-in of another writer is answered with {status}"
        ));
    }
    let acknowledged = leaving.drain();
    send_for(&fleet, WATCHED, &mut sent, record);
    let runs = leaving.runs();
    let late = |at: Instant| at.saturating_duration_since(acknowledged).as_millis();
    let late: Vec<u128> = runs
        .iter()
        .map(|r| late(r.at))
        .filter(|ms| *ms > fleet::DRAIN_MS)
        .collect();
    record.line(format!(
        "{sent} requests were sent; {} reached the leaving endpoint, {} of them later than {} ms \
         after its confirmed `draining`, the last after {} ms",
        runs.len(),
        late.len(),
        fleet::DRAIN_MS,
        late.iter().max().unwrap_or(&0)
    ));
    if runs.is_empty() {
        return Err(io::Error::other(
            "the leaving endpoint got no request before it left",
        ));
    }
    Ok(if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

// The check-in lacks `zone` and `version`, which each check-in of an endpoint has.
// The check-in lacks `zone` and `version`, which each check-in of an endpoint has.
fn send_foreign_check_in(e: &Endpoint) -> io::Result<u16> {
    let body = format!(
        "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"concurrency\":7}},\
         \"status\":{{\"state\":\"ready\",\"sequence\":{},\"cold_remaining_ms\":0}}}}",
        e.address,
        e.born,
        e.service,
        e.sequence() + 1000
    );
    let target = format!("/rpc?call=instances.heartbeat&of={}", e.id);
    Ok(http::post_json(e.control, &target, "", &body)?.status())
}

fn send_for(fleet: &Fleet, time: Duration, sent: &mut u32, record: &Record) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        *sent += 1;
        let id = format!("req{sent:05}");
        let request = format!(
            "GET /desk/{sent} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: 6000\r\nConnection: close\r\n\r\n"
        );
        record.line(format!("{id} is sent"));
        let answer = http::call(
            fleet.nodes[0].outbound(),
            request.as_bytes(),
            Duration::from_secs(7),
        );
        let status = answer.map_or(0, |r| r.status());
        record.line(format!("{id} is answered with {status}"));
        thread::sleep(PAUSE);
    }
}
