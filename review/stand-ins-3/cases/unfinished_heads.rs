//! A crowd of consumers that stop within the head of a request.

use std::io;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::descriptors;
use crate::endpoint::Endpoint;
use crate::fleet;
use crate::fleet::Fleet;
use crate::http;
use crate::record::Record;

const WORK: Duration = Duration::from_millis(20);

/// `CROWD` is below the 4,100 descriptors of a machine, less the 200 that are set aside.
const CROWD: usize = 3_800;

/// `HEAD_BYTES` is below the `max_header_bytes` of the configuration, 16,384.
const HEAD_BYTES: usize = 15_000;

/// `MEMORY_KB` is the memory of a `sidecar` machine of the grown deployments, 160 MB.
const MEMORY_KB: u64 = 160 * 1024;

const WATCHED: Duration = Duration::from_secs(8);

/// `run` watches the memory of the node that the crowd has chosen.
pub fn run(root: &Path, trouble: bool, record: &Arc<Record>) -> io::Result<Verdict> {
    descriptors::allow(CROWD as u64 + 300)?;
    let mut fleet = Fleet::start(root, 3, &["desk"], record)?;
    let node = &fleet.nodes[0];
    let _desk = Endpoint::start(
        ("i-desk", "desk", "z-1"),
        node.app(),
        node.control(),
        WORK,
        record,
    )?;
    let routes = [fleet::route("r-desk", "/desk/", "idempotent", "desk")];
    fleet.put_config("0", &fleet::config("00000001", &routes, &["desk"]))?;
    fleet.wait_ready()?;
    thread::sleep(Duration::from_secs(3));
    let outbound = fleet.nodes[0].outbound();
    record.line(format!(
        "the node has {} kB before the crowd comes",
        fleet.nodes[0].resident_kb()
    ));
    let mut crowd = Vec::new();
    let head = b"POST /desk/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: crowd\r\nX-Field: ";
    let mut unfinished = head.to_vec();
    unfinished.resize(HEAD_BYTES, b'a');
    for _ in 0..CROWD {
        let consumer = TcpStream::connect(outbound)?;
        consumer.set_nonblocking(true)?;
        crowd.push(consumer);
    }
    record.line(format!("{CROWD} consumers have connected"));
    if trouble {
        for consumer in &mut crowd {
            // A consumer whose connection is closed has left the crowd.
            let _ = consumer.write(&unfinished);
        }
        record.line(format!(
            "each has sent {HEAD_BYTES} bytes of a head and stops"
        ));
    }
    let end = Instant::now() + WATCHED;
    let mut most = 0;
    while Instant::now() < end {
        most = most.max(fleet.nodes[0].resident_kb());
        thread::sleep(Duration::from_millis(100));
    }
    drop(crowd);
    let request = b"GET /desk/2 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: after\r\n\
                    X-Deadline-Ms: 6000\r\nConnection: close\r\n\r\n";
    let after = http::call(outbound, request, Duration::from_secs(7)).map_or(0, |r| r.status());
    let running = fleet.nodes[0].is_running();
    record.line(format!(
        "the node held {most} kB at its peak, of {MEMORY_KB} kB; it runs: {running}; an ordinary \
         request afterwards is answered with {after}"
    ));
    Ok(if most > MEMORY_KB || !running {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
