//! Counts responses, attempts and malformed messages and sends the counts as metrics.

use std::sync::atomic::{AtomicU64, Ordering};

use cadence::{Counted, Gauged, StatsdClient};
use serde_json::{Value, json};

/// `TOTALS` is the number of totals that are sent as metrics.
pub(crate) const TOTALS: usize = 11;

/// `Counters` holds totals since the start of the process.
#[derive(Debug, Default)]
pub struct Counters {
    responses: [AtomicU64; 6],
    peer_attempts: AtomicU64,
    malformed: AtomicU64,
    calls: AtomicU64,
    call_pauses: AtomicU64,
    call_shortages: AtomicU64,
}

/// `Gauges` contains current values that are sent with the counters.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// The configuration version in force.
    pub config_version: u64,
    /// The number of announced backend servers.
    pub endpoints: u64,
    /// The bytes of request bodies in memory.
    pub buffered_bytes: u64,
    /// The number of ledger claims in flight.
    pub claims: u64,
    /// The number of routes of which fewer requests are admitted.
    pub limited_routes: u64,
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

    /// `count_call` counts a recognised call of a request that runs on this host.
    pub fn count_call(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
    }

    /// `count_call_pause` counts a pause of a call that found no capacity.
    pub fn count_call_pause(&self) {
        self.call_pauses.fetch_add(1, Ordering::Relaxed);
    }

    /// `count_call_shortage` counts an attempt of which a call lacked capacity.
    pub fn count_call_shortage(&self) {
        self.call_shortages.fetch_add(1, Ordering::Relaxed);
    }

    /// `dump` returns the totals for the state dump.
    pub fn dump(&self) -> Value {
        let n = |i: usize| self.responses[i].load(Ordering::Relaxed);
        json!({
            "responses": {"2xx": n(2), "3xx": n(3), "4xx": n(4), "5xx": n(5)},
            "attempts_of_peers": self.peer_attempts.load(Ordering::Relaxed),
            "malformed": self.malformed.load(Ordering::Relaxed),
            "calls": self.calls.load(Ordering::Relaxed),
            "call_pauses": self.call_pauses.load(Ordering::Relaxed),
            "call_shortages": self.call_shortages.load(Ordering::Relaxed),
        })
    }

    /// `send` sends the increase of each total since `last_sent`, which it updates, and the gauges.
    pub fn send(&self, client: &StatsdClient, last_sent: &mut [u64; TOTALS], gauges: Gauges) {
        const NAMES: [&str; TOTALS] = [
            "responses.other",
            "responses.1xx",
            "responses.2xx",
            "responses.3xx",
            "responses.4xx",
            "responses.5xx",
            "attempts_of_peers",
            "malformed",
            "calls",
            "call_pauses",
            "call_shortages",
        ];
        let totals = self
            .responses
            .iter()
            .chain([&self.peer_attempts, &self.malformed])
            .chain([&self.calls, &self.call_pauses, &self.call_shortages]);
        for ((name, total), last_total) in NAMES.iter().zip(totals).zip(last_sent) {
            let total = total.load(Ordering::Relaxed);
            // Metrics are best effort; a failed send is not repeated.
            let _ = client.count(name, total - *last_total);
            *last_total = total;
        }
        let _ = client.gauge("config_version", gauges.config_version);
        let _ = client.gauge("endpoints", gauges.endpoints);
        let _ = client.gauge("buffered_bytes", gauges.buffered_bytes);
        let _ = client.gauge("claims", gauges.claims);
        let _ = client.gauge("limited_routes", gauges.limited_routes);
    }
}
