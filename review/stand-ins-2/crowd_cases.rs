//! Crowds of consumers that send slowly or stop half-way: the memory and the descriptors of a
//! machine.

use std::fs;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use crate::departure_case::{send_one, start_endpoints};
use crate::fleet::{Fleet, Machine, READY, anonymous_kb, note_pid};
use crate::http::Client;
use crate::record::Record;
use crate::{CaseResult, Verdict, trouble};

/// `MAX_FDS` is `max_fds` of a `sidecar` machine of kopukcu-mesh.
const MAX_FDS: u32 = 4100;

/// `MEMORY_MB` is `memory_mb` of a `sidecar` machine of kopukcu-mesh.
const MEMORY_MB: u64 = 260;

/// `GROUP` is the number of connections that one process of the crowd holds.
const GROUP: usize = 800;

/// `ENDS` is the number of ends by itself on each of two machines that makes a fault.
const ENDS: usize = 3;

/// `RESTART_DELAY` is the time after which the platform starts an ended process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// `Crowd` is the processes of a crowd, which end with it.
struct Crowd(Vec<Child>);

impl Drop for Crowd {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Crowd {
    fn start(fleet: &Fleet, m: &Machine, count: usize, mode: &str) -> Result<Self, String> {
        let program = std::env::current_exe().map_err(|e| e.to_string())?;
        let mut crowd = Self(Vec::new());
        let mut left = count;
        while left > 0 {
            let group = left.min(GROUP);
            left -= group;
            let child = Command::new(&program)
                .args([
                    "crowd",
                    &fleet.outbound(m).to_string(),
                    &group.to_string(),
                    mode,
                ])
                .stdin(Stdio::null())
                .spawn()
                .map_err(|e| e.to_string())?;
            note_pid(child.id());
            crowd.0.push(child);
        }
        let line = format!("a crowd of {count} consumers comes to {} ({mode})", m.name);
        fleet.record.note(&line);
        Ok(crowd)
    }
}

fn start_fleet(record: &Record, max_fds: u32) -> Result<(Fleet, Vec<Machine>), String> {
    let mut fleet = Fleet::new(record, 1)?;
    let core: Vec<Machine> = (0..3).map(|i| fleet.keeper(i as u8 + 1, i)).collect();
    let mut nodes: Vec<Machine> = (0..3).map(|i| fleet.node(i as u8 + 1, i)).collect();
    nodes.iter_mut().for_each(|m| m.max_fds = Some(max_fds));
    for m in core.iter().chain(&nodes) {
        fleet.start(m, true)?;
    }
    start_endpoints(&fleet, &nodes)?;
    fleet.put_first_config(&core)?;
    for m in &nodes {
        fleet.wait_ready(m)?;
    }
    // Longer than `stable_window_ms`, so that all machines are in touch.
    thread::sleep(Duration::from_secs(5));
    for (n, m) in nodes.iter().enumerate() {
        let reply = send_one(fleet.outbound(m), n as u64 + 1);
        let status = reply.map(|r| r.status);
        record.note(&format!("a request in calm at {} -> {status:?}", m.name));
        if !matches!(status, Ok(200)) {
            return Err(format!("{} does not serve in calm", m.name));
        }
    }
    Ok((fleet, nodes))
}

/// `play_memory` plays bodies that stop just short of their end, at two machines, and ends a process
/// that uses more than the memory of its machine, as the platform does.
pub fn play_memory(record: &Record) -> CaseResult {
    const CROWD: usize = 4000;
    const LIMIT: Duration = Duration::from_secs(70);
    let (mut fleet, nodes) = start_fleet(record, MAX_FDS)?;
    let crowded = &nodes[..2];
    let mut crowds = Vec::new();
    if trouble() {
        for m in crowded {
            crowds.push(Crowd::start(&fleet, m, CROWD, "body")?);
        }
    }
    let (mut ends, mut peaks) = ([0; 2], [0; 2]);
    let start = Instant::now();
    while start.elapsed() < LIMIT && ends.iter().any(|n| *n < ENDS) {
        for (i, m) in crowded.iter().enumerate() {
            let Some(pid) = fleet.pid(m) else {
                return Err(format!("{} ended without the platform", m.name));
            };
            let used = anonymous_kb(pid);
            if used / 1024 > peaks[i] / 1024 + 20 {
                record.line(&format!("{} uses {} MiB", m.name, used / 1024));
                peaks[i] = used;
            }
            if used > MEMORY_MB * 1024 {
                ends[i] += 1;
                let line = format!(
                    "{} uses {} MiB of memory, over the {MEMORY_MB} MB of its machine: end {}",
                    m.name,
                    used / 1024,
                    ends[i]
                );
                record.note(&line);
                fleet.kill(m);
                peaks[i] = 0;
                thread::sleep(RESTART_DELAY);
                fleet.start(m, false)?;
            }
        }
        thread::sleep(Duration::from_millis(30));
    }
    drop(crowds);
    record.note(&format!(
        "ends for memory: {ends:?}; a fault is {ENDS} on each of two machines"
    ));
    Ok(match ends.iter().all(|n| *n >= ENDS) {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// `play_descriptors` plays heads that stop half-way, on as many connections as the machine has
/// descriptors, and lets ten ordinary consumers try to connect all the while.
pub fn play_descriptors(record: &Record) -> CaseResult {
    const CROWD: usize = 4200;
    const CONSUMERS: u64 = 10;
    const PLAY: Duration = Duration::from_secs(30);
    // `stable_window_ms`.
    const WINDOW: Duration = Duration::from_millis(3000);
    let (mut fleet, nodes) = start_fleet(record, MAX_FDS)?;
    let m = &nodes[0];
    let pid = fleet.pid(m).ok_or("the node has ended")?;
    // The platform asks for the readiness once a second, on a connection that it keeps.
    let mut readiness = Client::connect(fleet.ready(m), Duration::from_secs(1))
        .map_err(|e| format!("no readiness check: {e}"))?;
    let crowd = if trouble() {
        Some(Crowd::start(&fleet, m, CROWD, "head")?)
    } else {
        None
    };
    let start = Instant::now();
    let last_taken = Arc::new(Mutex::new(Instant::now()));
    let (tries_tx, tries) = mpsc::channel();
    for n in 0..CONSUMERS {
        let (address, record) = (fleet.outbound(m), record.clone());
        let (last_taken, tries_tx) = (Arc::clone(&last_taken), tries_tx.clone());
        thread::spawn(move || {
            for k in 0.. {
                let begun = Instant::now();
                let status = send_one(address, 1_000_000 + k * CONSUMERS + n).map(|r| r.status);
                record.line(&format!(
                    "consumer {n} on a new connection -> {status:?} after {:.3} s",
                    begun.elapsed().as_secs_f64()
                ));
                if status.is_ok() {
                    *last_taken.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
                }
                if tries_tx.send((n, begun)).is_err() {
                    return;
                }
                thread::sleep(Duration::from_millis(200));
            }
        });
    }
    let mut longest = Duration::ZERO;
    let mut ready_in_gap = 0;
    let mut next_check = Instant::now();
    while start.elapsed() < PLAY {
        let taken = *last_taken.lock().unwrap_or_else(PoisonError::into_inner);
        let gap = taken.elapsed();
        if Instant::now() >= next_check {
            next_check += Duration::from_secs(1);
            let ready = readiness.send(&READY).is_ok_and(|r| r.status == 200);
            record.line(&format!(
                "ready: {ready}; no new connection for {:.1} s; {} descriptors",
                gap.as_secs_f64(),
                fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |d| d.count())
            ));
            if ready && gap >= WINDOW {
                ready_in_gap += 1;
            }
        }
        longest = longest.max(gap);
        thread::sleep(Duration::from_millis(20));
    }
    let tried = tries.try_iter().count();
    drop(crowd);
    let line = format!(
        "longest time without a new connection: {:.1} s; it said that it was ready {ready_in_gap} \
         times after {:.1} s of it; {CONSUMERS} consumers tried {tried} times",
        longest.as_secs_f64(),
        WINDOW.as_secs_f64()
    );
    record.note(&line);
    Ok(match longest >= WINDOW && ready_in_gap > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
