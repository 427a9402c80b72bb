//! Free ports for processes that need a fixed address in their settings.

use std::net::{IpAddr, SocketAddr, TcpListener};
use std::ops::Range;
use std::process as this_process;
use std::sync::atomic::{AtomicU32, Ordering};
use std::{fs, iter};

use snafu::IntoError;

use crate::errors;
use crate::process;

/// `FIRST_PORT` is the first port that is handed out.
const FIRST_PORT: u16 = 10_000;

/// `OUTGOING_FIRST_PORT` is the usual first port of outgoing connections.
const OUTGOING_FIRST_PORT: u16 = 32_768;

/// `PORTS_MIN` is the least number of ports to choose from.
const PORTS_MIN: u16 = 2_000;

/// `PORTS_PER_PROCESS` is the distance between the first ports that two processes with neighbouring
/// ids try.
const PORTS_PER_PROCESS: u32 = 97;

/// `TAKEN` counts the ports that this process has tried.
static TAKEN: AtomicU32 = AtomicU32::new(0);

/// `free` returns `n` distinct addresses on `ip` whose ports were free at the time of the call.
///
/// The system gives these ports to no outgoing connection, so that they stay free until they are bound,
/// and while a process that used one is down. No port is returned twice.
///
/// Fails with `Listen` when no port is free.
pub fn free(ip: IpAddr, n: usize) -> errors::Result<Vec<SocketAddr>> {
    iter::repeat_with(|| process::without_spawns(|| next_free(ip)))
        .take(n)
        .collect()
}

fn next_free(ip: IpAddr) -> errors::Result<SocketAddr> {
    let range = ports();
    let count = u32::from(range.end - range.start);
    let start = this_process::id().wrapping_mul(PORTS_PER_PROCESS);
    let mut last = None;
    for _ in 0..count {
        let offset = start.wrapping_add(TAKEN.fetch_add(1, Ordering::Relaxed)) % count;
        // The offset is below the number of ports.
        let address = SocketAddr::new(ip, range.start + offset as u16);
        match TcpListener::bind(address) {
            Ok(_) => return Ok(address),
            Err(e) => last = Some((address, e)),
        }
    }
    let (address, e) =
        last.unwrap_or((SocketAddr::new(ip, 0), std::io::ErrorKind::AddrInUse.into()));
    Err(errors::ListenSnafu { address }.into_error(e))
}

// The ports below those from which the system takes the ones of outgoing connections.
fn ports() -> Range<u16> {
    let text = fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap_or_default();
    let first = text.split_whitespace().next().and_then(|n| n.parse().ok());
    let end = first.filter(|end| *end >= FIRST_PORT + PORTS_MIN);
    FIRST_PORT..end.unwrap_or(OUTGOING_FIRST_PORT)
}
