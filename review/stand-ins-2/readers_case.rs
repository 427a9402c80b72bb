//! Some consumers of a machine read their answers slowly; what becomes of the others' requests?

use std::collections::BTreeSet;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::departure_case::start_endpoints;
use crate::fleet::{Fleet, Machine};
use crate::http::{Call, Client};
use crate::record::Record;
use crate::slow_socket::connect_slow;
use crate::{CaseResult, Verdict, trouble};

/// `SLOW_READERS` is less than half of the 120 consumers of a zone of kopukcu-mesh.
const SLOW_READERS: u64 = 48;

/// `CONSUMERS` is the number of ordinary consumers at the same machine.
const CONSUMERS: u64 = 12;

/// `READER_INTERVAL` is the time between the starts of two slow readers.
const READER_INTERVAL: Duration = Duration::from_millis(40);

/// `TIMEOUT` is a little more than the `timeout_ms` of the route.
const TIMEOUT: Duration = Duration::from_millis(12_200);

/// `PLAY` is the time with the slow readers.
const PLAY: Duration = Duration::from_secs(30);

/// `RULE_LIMIT` is how many closed connections the rule allows.
const RULE_LIMIT: usize = 3;

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

/// `Lost` is a request on a kept connection that was closed without a complete answer.
struct Lost {
    request: String,
    after: Duration,
}

type LostList = Arc<Mutex<Vec<Lost>>>;

pub fn play(record: &Record) -> CaseResult {
    let mut fleet = Fleet::new(record, 1)?;
    let core: Vec<Machine> = (0..3).map(|i| fleet.keeper(i as u8 + 1, i)).collect();
    let mut nodes: Vec<Machine> = (0..3).map(|i| fleet.node(i as u8 + 1, i)).collect();
    // The endpoint beside the consumers is of another service, so that all requests go to the others.
    nodes[0].service = "ledger4c";
    for m in core.iter().chain(&nodes) {
        fleet.start(m, true)?;
    }
    let endpoints = start_endpoints(&fleet, &nodes)?;
    fleet.put_first_config(&core)?;
    for m in &nodes {
        fleet.wait_ready(m)?;
    }
    thread::sleep(Duration::from_secs(4));
    let entry = fleet.outbound(&nodes[0]);
    let (stop, lost) = (Arc::new(AtomicBool::new(false)), LostList::default());
    for n in 0..CONSUMERS {
        consume(n, entry, Arc::clone(&stop), Arc::clone(&lost), record);
    }
    // Longer than `stable_window_ms`, in which each consumer has its kept connection.
    thread::sleep(Duration::from_secs(5));
    let in_calm = lost.lock().unwrap_or_else(PoisonError::into_inner).len();
    record.note(&format!(
        "before: {in_calm} connections closed without an answer"
    ));
    if trouble() {
        read_slowly(entry, &stop, record);
    }
    thread::sleep(PLAY);
    stop.store(true, Ordering::Relaxed);
    let ran: BTreeSet<String> = endpoints
        .iter()
        .flat_map(|e| e.arrivals())
        .map(|a| a.request)
        .collect();
    let lost = lost.lock().unwrap_or_else(PoisonError::into_inner);
    let passed_on: Vec<&Lost> = lost.iter().filter(|l| ran.contains(&l.request)).collect();
    for l in &passed_on {
        let after = l.after.as_secs_f64();
        record.line(&format!(
            "{} ran, its kept connection closed after {after:.3} s",
            l.request
        ));
    }
    let line = format!(
        "{} requests on kept connections ran and had their connection closed without a complete answer",
        passed_on.len()
    );
    record.note(&line);
    Ok(match passed_on.len() > RULE_LIMIT {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

// Starts the slow readers, one after the other. Each asks for one answer and reads nothing of it; when
// the time for it has passed, it comes back.
fn read_slowly(address: SocketAddr, stop: &Arc<AtomicBool>, record: &Record) {
    for _ in 0..SLOW_READERS {
        let (stop, record) = (Arc::clone(stop), record.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let asked = ask_for_large_answer(address, &record);
                thread::sleep(if asked.is_ok() {
                    TIMEOUT
                } else {
                    Duration::from_millis(200)
                });
            }
        });
        thread::sleep(READER_INTERVAL);
    }
    record.note(&format!(
        "{SLOW_READERS} consumers read slowly at {address}"
    ));
}

fn ask_for_large_answer(address: SocketAddr, record: &Record) -> io::Result<TcpStream> {
    let number = NEXT_REQUEST.fetch_add(1, Ordering::Relaxed);
    let head = format!(
        "GET /read/large HTTP/1.1\r\nHost: read.example\r\nX-Request-Id: {number:016x}\r\n\
         X-Deadline-Ms: 25000\r\n\r\n"
    );
    let mut stream = connect_slow(address)?;
    stream.write_all(head.as_bytes())?;
    record.line(&format!(
        "slow reader asks for a large answer, request {number:016x}"
    ));
    Ok(stream)
}

// A consumer with a kept connection that sends one booking after the other.
fn consume(n: u64, address: SocketAddr, stop: Arc<AtomicBool>, lost: LostList, record: &Record) {
    let record = record.clone();
    thread::spawn(move || {
        // The connection, and whether a request on it was answered before.
        let mut connection: Option<(Client, bool)> = None;
        while !stop.load(Ordering::Relaxed) {
            let opened = connection.take();
            let opened = opened.or_else(|| Some((Client::connect(address, LIMIT).ok()?, false)));
            let Some((mut client, kept)) = opened else {
                thread::sleep(Duration::from_millis(200));
                continue;
            };
            let request = format!("{:016x}", NEXT_REQUEST.fetch_add(1, Ordering::Relaxed));
            let begun = Instant::now();
            let reply = client.send(&Call {
                method: "POST",
                path: "/book/1",
                headers: &[
                    ("Host", "book.example"),
                    ("X-Request-Id", &request),
                    ("X-Deadline-Ms", "12000"),
                ],
                body: b"two seats",
            });
            let after = begun.elapsed();
            let status = reply.as_ref().map(|r| (r.status, r.body.len()));
            record.line(&format!(
                "consumer {n}, booking {request}, kept connection: {kept} -> {status:?} after {:.3} s",
                after.as_secs_f64()
            ));
            match reply {
                Ok(_) => connection = Some((client, true)),
                Err(_) if kept => {
                    let mut lost = lost.lock().unwrap_or_else(PoisonError::into_inner);
                    lost.push(Lost { request, after });
                }
                Err(_) => {}
            }
            thread::sleep(Duration::from_millis(100));
        }
    });
}

/// `LIMIT` is longer than the consumer's time budget, so that a read ends only with the connection.
const LIMIT: Duration = Duration::from_secs(15);
