//! Counts responses, attempts and malformed messages and sends the counts as metrics.

use std::sync::atomic::{AtomicU64, Ordering};

use cadence::{Counted, Gauged, StatsdClient};
use serde_json::{Value, json};
use shallothill_runtime::memory::MemoryCounts;

/// `Counters` holds totals since the start of the process.
#[derive(Debug, Default)]
pub struct Counters {
    responses: [AtomicU64; 6],
    peer_attempts: AtomicU64,
    malformed: AtomicU64,
}

/// `Gauges` contains current values that are sent with the counters.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// The configuration version in force.
    pub config_version: u64,
    /// The number of announced backend servers.
    pub endpoints: u64,
    /// The bytes of heads, bodies and unread responses in memory.
    pub held_bytes: u64,
    /// What happened to clients without progress.
    pub memory: MemoryCounts,
    /// The number of ledger claims in flight.
    pub claims: u64,
}

impl Counters {
    /// `count_response` counts a response to a caller by the class of its status.
    pub fn count_response(&self, status: u16) {
        let status_class = usize::from(status / 100).min(5);
        self.responses[status_class].fetch_add(1, Ordering::Relaxed);
    }

    /// `count_peer_attempt` counts an attempt that another node sent.
    pub fn count_peer_attempt(&self) {
        self.peer_attempts.fetch_add(1, Ordering::Relaxed);
    }

    /// `count_malformed` counts a message that hyper could not parse and refused itself.
    pub fn count_malformed(&self) {
        self.malformed.fetch_add(1, Ordering::Relaxed);
    }

    /// `dump` returns the totals for the state dump.
    pub fn dump(&self) -> Value {
        let n = |i: usize| self.responses[i].load(Ordering::Relaxed);
        json!({
            "responses": {"2xx": n(2), "3xx": n(3), "4xx": n(4), "5xx": n(5)},
            "attempts_of_peers": self.peer_attempts.load(Ordering::Relaxed),
            "malformed": self.malformed.load(Ordering::Relaxed),
        })
    }

    /// `send` sends the increase of each total since `last_sent`, which it updates, and the gauges.
    pub fn send(&self, client: &StatsdClient, last_sent: &mut [u64; 8], gauges: Gauges) {
        const NAMES: [&str; 8] = [
            "responses.other",
            "responses.1xx",
            "responses.2xx",
            "responses.3xx",
            "responses.4xx",
            "responses.5xx",
            "attempts_of_peers",
            "malformed",
        ];
        let totals = self
            .responses
            .iter()
            .chain([&self.peer_attempts, &self.malformed]);
        for ((name, total), last_total) in NAMES.iter().zip(totals).zip(last_sent) {
            let total = total.load(Ordering::Relaxed);
            // Metrics are best effort; a failed send is not repeated.
            let _ = client.count(name, total - *last_total);
            *last_total = total;
        }
        let _ = client.gauge("config_version", gauges.config_version);
        let _ = client.gauge("endpoints", gauges.endpoints);
        let _ = client.gauge("buffered_bytes", gauges.held_bytes);
        let _ = client.gauge("memory.evicted", gauges.memory.evicted);
        let _ = client.gauge("memory.too_slow", gauges.memory.too_slow);
        let _ = client.gauge("memory.refused", gauges.memory.refused);
        let _ = client.gauge("claims", gauges.claims);
    }
}
