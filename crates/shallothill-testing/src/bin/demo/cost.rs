//! The processor time that nodes spend on requests.

use std::fs;
use std::time::Duration;

use crate::fleet::Fleet;

/// `TICK` is the unit of processor times in `/proc` on Linux.
const TICK: Duration = Duration::from_millis(10);

/// `processor_time` returns the processor time of all nodes so far; zero where it cannot be read.
pub(crate) fn processor_time(fleet: &Fleet) -> Duration {
    let nodes = fleet.hosts.iter().filter_map(|h| h.node.as_ref());
    nodes.map(|node| ticks(node.id()) * TICK).sum()
}

// The 14th and 15th fields are the user and system time; the second may hold spaces.
fn ticks(process: u32) -> u32 {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let fields = stat
        .rsplit_once(')')
        .map(|(_, rest)| rest)
        .unwrap_or_default();
    let times = fields.split_whitespace().skip(11).take(2);
    times.filter_map(|t| t.parse::<u32>().ok()).sum()
}

/// `print` prints the rate of answers and what one core of a node could answer.
pub(crate) fn print(answered: usize, quiet: Duration, spent: Duration) {
    let rate = answered as f64 / quiet.as_secs_f64();
    let per_core = answered as f64 / spent.as_secs_f64().max(TICK.as_secs_f64());
    println!(
        "{rate:.0} requests/s; the nodes spent {:.2} s of processor time, {per_core:.0} requests for \
         each second of a core, control included",
        spent.as_secs_f64()
    );
}
