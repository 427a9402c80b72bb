//! Bookings with long bodies whose gate freezes for some seconds.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::endpoint::Endpoint;
use crate::fleet;
use crate::fleet::Fleet;
use crate::http;
use crate::record::Record;
use crate::signal::Signal;

/// `SERVICES` are the services of the nodes, of which one in ten freezes. The consumers are at the
/// first node, the endpoints at the second, third and fifth.
const SERVICES: [&str; 10] = [
    "front", "desk", "desk", "front", "desk", "front", "front", "front", "front", "front",
];

/// `WORK` is how long the endpoint works on a booking.
const WORK: Duration = Duration::from_millis(20);

/// `BODY_BYTES` is the length of each booking.
const BODY_BYTES: usize = 20_000;

/// `CALM_BOOKINGS` are sent one after the other before the freeze.
const CALM_BOOKINGS: usize = 10;

/// `BOOKINGS` are sent from the begin of the freeze, one each `PAUSE`.
const BOOKINGS: usize = 120;

const PAUSE: Duration = Duration::from_micros(400);

/// `FREEZE` is how long the node of the endpoint stands still.
const FREEZE: Duration = Duration::from_millis(2500);

/// `DENIED` are the refusals that the rule allows, beside one in `DENIED_EACH` requests.
const DENIED: usize = 5;

const DENIED_EACH: usize = 500;

/// `run` sends bookings at the moment at which the node of their endpoint freezes.
pub fn run(root: &Path, trouble: bool, record: &Arc<Record>) -> io::Result<Verdict> {
    let fleet = Fleet::start(root, 3, &SERVICES, record)?;
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
    let desks = [start(1, "desk")?, start(2, "desk")?, start(4, "desk")?];
    let routes = [fleet::route("r-book", "/book/", "non_idempotent", "desk")];
    fleet.put_config("0", &fleet::config("00000001", &routes, &["front", "desk"]))?;
    fleet.wait_ready()?;
    thread::sleep(Duration::from_secs(5));
    let outbound = fleet.nodes[0].outbound();
    for i in 0..CALM_BOOKINGS {
        let status = book(outbound, &format!("warm{i:05}"));
        record.line(format!("warm{i:05} is answered with {status}"));
    }
    if trouble {
        record.line("the node of the endpoint freezes");
        fleet.nodes[1].signal(Signal::Stop);
    }
    let bookings: Vec<_> = (0..BOOKINGS)
        .map(|i| {
            let record = Arc::clone(record);
            thread::spawn(move || {
                thread::sleep(PAUSE * i as u32);
                let id = format!("book{i:05}");
                record.line(format!("{id} is sent"));
                let status = book(outbound, &id);
                record.line(format!("{id} is answered with {status}"));
                status
            })
        })
        .collect();
    thread::sleep(FREEZE);
    if trouble {
        fleet.nodes[1].signal(Signal::Continue);
        record.line("the node of the endpoint wakes again");
    }
    let statuses: Vec<u16> = bookings.into_iter().filter_map(|b| b.join().ok()).collect();
    let denied = statuses.iter().filter(|s| is_denied(**s)).count();
    let sent = statuses.len() + CALM_BOOKINGS;
    let runs = desks.iter().flat_map(|d| d.runs());
    let ran: BTreeSet<String> = runs.map(|r| r.id).collect();
    let allowed = DENIED + sent / DENIED_EACH;
    record.line(format!(
        "{sent} bookings were sent, {} ran; {denied} were ended with a 3xx or 4xx of the node's \
         own, {allowed} are allowed",
        ran.len()
    ));
    Ok(if denied > allowed {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

// The endpoint itself answers with 200 or 421 only.
fn is_denied(status: u16) -> bool {
    (300..500).contains(&status) && ![408, 421, 429].contains(&status)
}

fn book(outbound: SocketAddr, id: &str) -> u16 {
    let head = format!(
        "POST /book/{id} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 12000\r\nContent-Length: {BODY_BYTES}\r\nConnection: close\r\n\r\n"
    );
    let request = [head.as_bytes(), &vec![b'x'; BODY_BYTES]].concat();
    http::call(outbound, &request, Duration::from_secs(14)).map_or(0, |r| r.status())
}
