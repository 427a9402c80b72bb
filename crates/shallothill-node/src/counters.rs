//! Counts events and sends them as metrics.

use std::sync::atomic::{AtomicU64, Ordering};

use cadence::{Counted, Gauged, StatsdClient};
use serde_json::{Value, json};

/// `Counters` counts what the node does.
#[derive(Debug, Default)]
pub struct Counters {
    answered: [AtomicU64; 6],
    attempts: AtomicU64,
    malformed: AtomicU64,
}

/// `Gauges` are values at one time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// The configuration version in force.
    pub config_version: u64,
    /// The announced backend servers.
    pub endpoints: u64,
    /// Bytes of request bodies in memory.
    pub buffered_bytes: u64,
    /// Claims that await answers.
    pub claims: u64,
}

impl Counters {
    /// `answered` counts a response to a caller.
    pub fn count_response(&self, status: u16) {
        let kind = usize::from(status / 100).min(5);
        self.answered[kind].fetch_add(1, Ordering::Relaxed);
    }

    /// `attempt` counts an attempt that another node sent.
    pub fn count_peer_attempt(&self) {
        self.attempts.fetch_add(1, Ordering::Relaxed);
    }

    /// `malformed` counts a message that the HTTP library could not read and refused itself.
    pub fn count_malformed(&self) {
        self.malformed.fetch_add(1, Ordering::Relaxed);
    }

    /// `dump` returns the totals.
    pub fn dump(&self) -> Value {
        let n = |i: usize| self.answered[i].load(Ordering::Relaxed);
        json!({
            "responses": {"2xx": n(2), "3xx": n(3), "4xx": n(4), "5xx": n(5)},
            "attempts_of_peers": self.attempts.load(Ordering::Relaxed),
            "malformed": self.malformed.load(Ordering::Relaxed),
        })
    }

    /// `send` sends what was counted since `sent`, and the gauges.
    pub fn send(&self, client: &StatsdClient, sent: &mut [u64; 8], gauges: Gauges) {
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
            .answered
            .iter()
            .chain([&self.attempts, &self.malformed]);
        for ((name, total), before) in NAMES.iter().zip(totals).zip(sent) {
            let total = total.load(Ordering::Relaxed);
            // Metrics are best effort.
            let _ = client.count(name, total - *before);
            *before = total;
        }
        let _ = client.gauge("config_version", gauges.config_version);
        let _ = client.gauge("endpoints", gauges.endpoints);
        let _ = client.gauge("buffered_bytes", gauges.buffered_bytes);
        let _ = client.gauge("claims", gauges.claims);
    }
}
