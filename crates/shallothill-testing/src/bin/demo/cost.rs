//! Measurement of the CPU time that nodes spend on requests.

use std::fs;
use std::time::Duration;

use crate::fleet::Fleet;

/// `CLOCK_TICK` is the unit of CPU times in `/proc` on Linux.
const CLOCK_TICK: Duration = Duration::from_millis(10);

/// `cpu_time` returns the total CPU time of the running nodes; a node whose `/proc` entry cannot
/// be read counts as zero.
pub(crate) fn cpu_time(fleet: &Fleet) -> Duration {
    let nodes = fleet.hosts.iter().filter_map(|h| h.node.as_ref());
    nodes.map(|node| cpu_ticks(node.id()) * CLOCK_TICK).sum()
}

// Fields 14 and 15 are the user and system time. Field 2, the command name in parentheses, may
// contain spaces, so fields are counted after its closing parenthesis.
fn cpu_ticks(process: u32) -> u32 {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let fields = stat
        .rsplit_once(')')
        .map(|(_, rest)| rest)
        .unwrap_or_default();
    let times = fields.split_whitespace().skip(11).take(2);
    times.filter_map(|t| t.parse::<u32>().ok()).sum()
}

/// `print_throughput` prints the rate of answers and the number of requests per second of node CPU
/// time.
pub(crate) fn print_throughput(answered: usize, duration: Duration, cpu_time_spent: Duration) {
    let rate = answered as f64 / duration.as_secs_f64();
    let per_core = answered as f64 / cpu_time_spent.as_secs_f64().max(CLOCK_TICK.as_secs_f64());
    println!(
        "{rate:.0} requests/s; the nodes spent {:.2} s of processor time, {per_core:.0} requests \
         for each second of a core, control included",
        cpu_time_spent.as_secs_f64()
    );
}
