//! Counts responses, attempts and malformed messages and sends the counts as metrics.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

use cadence::{Counted, Gauged, StatsdClient};
use serde_json::{Value, json};
use shallothill_runtime::memory::MemoryCounts;

/// `TOTALS` is the number of totals that are sent as metrics.
pub(crate) const TOTALS: usize = 17 + REFUSALS.len();

/// `REFUSALS` lists the reasons for which gates refuse attempts; the last one counts all others.
const REFUSALS: [&str; 8] = [
    "suspect",
    "queue-full",
    "shed",
    "deadline",
    "ejected",
    "draining",
    "retry-budget",
    "other",
];

/// `Counters` holds totals since the start of the process.
#[derive(Debug, Default)]
pub struct Counters {
    refused: [AtomicU64; REFUSALS.len()],
    responses: [AtomicU64; 6],
    peer_attempts: AtomicU64,
    malformed: AtomicU64,
    lost_leases: AtomicU64,
    stale_refusals: AtomicU64,
    credit: [AtomicU64; 4],
    calls: AtomicU64,
    call_pauses: AtomicU64,
    call_shortages: AtomicU64,
}

/// `CreditResult` tells how a request of a caller with a quota got a token, or why it got none.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CreditResult {
    /// The node held a token.
    Local,
    /// The request waited for a keeper.
    Waited,
    /// The caller is over its quota.
    Denied,
    /// No keeper answered in time.
    NoAnswer,
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

    /// `count_lost_lease` counts a loss of the lease on the currency of the configuration.
    pub fn count_lost_lease(&self) {
        self.lost_leases.fetch_add(1, Ordering::Relaxed);
    }

    /// `count_stale_refusal` counts a request with a key that was not admitted without the lease.
    pub fn count_stale_refusal(&self) {
        self.stale_refusals.fetch_add(1, Ordering::Relaxed);
    }

    /// `count_credit` counts a request of a caller with a quota.
    pub fn count_credit(&self, result: CreditResult) {
        let index = match result {
            CreditResult::Local => 0,
            CreditResult::Waited => 1,
            CreditResult::Denied => 2,
            CreditResult::NoAnswer => 3,
        };
        self.credit[index].fetch_add(1, Ordering::Relaxed);
    }

    /// `count_refused` counts an attempt that the gate of this node refused for `reason`, without
    /// sending it to the backend server.
    pub fn count_refused(&self, reason: &str) {
        let known = REFUSALS.iter().position(|r| *r == reason);
        let reason = known.unwrap_or(REFUSALS.len() - 1);
        self.refused[reason].fetch_add(1, Ordering::Relaxed);
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
        let credit = |i: usize| self.credit[i].load(Ordering::Relaxed);
        let refused: BTreeMap<&str, u64> = REFUSALS
            .into_iter()
            .zip(self.refused.iter().map(|n| n.load(Ordering::Relaxed)))
            .collect();
        json!({
            "refused": refused,
            "responses": {"2xx": n(2), "3xx": n(3), "4xx": n(4), "5xx": n(5)},
            "attempts_of_peers": self.peer_attempts.load(Ordering::Relaxed),
            "credit": {
                "local": credit(0), "waited": credit(1), "denied": credit(2), "no_answer": credit(3),
            },
            "malformed": self.malformed.load(Ordering::Relaxed),
            "lost_leases": self.lost_leases.load(Ordering::Relaxed),
            "stale_refusals": self.stale_refusals.load(Ordering::Relaxed),
            "calls": self.calls.load(Ordering::Relaxed),
            "call_pauses": self.call_pauses.load(Ordering::Relaxed),
            "call_shortages": self.call_shortages.load(Ordering::Relaxed),
        })
    }

    /// `send` sends the increase of each total since `last_sent`, which it updates, and the gauges.
    pub fn send(&self, client: &StatsdClient, last_sent: &mut [u64; TOTALS], gauges: Gauges) {
        const NAMES: [&str; 17] = [
            "responses.other",
            "responses.1xx",
            "responses.2xx",
            "responses.3xx",
            "responses.4xx",
            "responses.5xx",
            "attempts_of_peers",
            "malformed",
            "lost_leases",
            "stale_refusals",
            "credit.local",
            "credit.waited",
            "credit.denied",
            "credit.no_answer",
            "calls",
            "call_pauses",
            "call_shortages",
        ];
        // Not sent by nodes without a bound on the age of their configuration.
        const OPTIONAL: [&str; 2] = ["lost_leases", "stale_refusals"];
        let totals = self
            .responses
            .iter()
            .chain([
                &self.peer_attempts,
                &self.malformed,
                &self.lost_leases,
                &self.stale_refusals,
            ])
            .chain(&self.credit)
            .chain([&self.calls, &self.call_pauses, &self.call_shortages])
            .chain(&self.refused);
        let refusals = REFUSALS.map(|reason| format!("refused.{reason}"));
        let names = NAMES.into_iter().chain(refusals.iter().map(String::as_str));
        for ((name, total), last_total) in names.zip(totals).zip(last_sent) {
            let total = total.load(Ordering::Relaxed);
            if total == 0 && OPTIONAL.contains(&name) {
                continue;
            }
            // Metrics are best effort; a failed send is not repeated.
            let _ = client.count(name, total - *last_total);
            *last_total = total;
        }
        let _ = client.gauge("config_version", gauges.config_version);
        let _ = client.gauge("endpoints", gauges.endpoints);
        // The name that earlier releases used.
        let _ = client.gauge("buffered_bytes", gauges.held_bytes);
        let _ = client.gauge("memory.evicted", gauges.memory.evicted);
        let _ = client.gauge("memory.too_slow", gauges.memory.too_slow);
        let _ = client.gauge("memory.refused", gauges.memory.refused);
        let _ = client.gauge("claims", gauges.claims);
        let _ = client.gauge("limited_routes", gauges.limited_routes);
    }
}
