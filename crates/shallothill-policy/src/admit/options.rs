//! Limits of a gate.

use std::time::Duration;

use shallothill_core::config::Service;

/// `STOP_RESERVE` is how many times its usual duration a request may take at a stopping node. What
/// still runs at the end is cut off, and its caller does not learn whether it has run.
pub const STOP_RESERVE: u32 = 3;

/// `GateOptions` holds the limits of one endpoint's gate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GateOptions {
    /// Concurrent requests that the endpoint runs.
    pub slots: u16,
    /// Requests that may wait for a slot.
    pub queue_capacity: u16,
    /// Connections that the gate may have open to the endpoint.
    pub max_connections: u32,
    /// Latency to assume for a request kind until responses have been measured.
    pub expected_latency: Duration,
    /// Requests that a cold endpoint serves before it runs at all its slots. 0 disables the ramp,
    /// for endpoints that are merely slower while cold: fewer slots would only lower their
    /// throughput.
    pub cold_start_requests: u32,
    /// While both callers' and internal requests wait, one of this many starts goes to an internal
    /// request.
    pub starts_per_internal: u32,
    /// One of this many starts of callers' requests goes to the request that has waited longest.
    pub starts_per_oldest: u32,
    /// Divisor of `queue_capacity` that gives the number of places reserved for internal requests;
    /// at least one place is reserved.
    pub internal_queue_divisor: u16,
}

impl Default for GateOptions {
    fn default() -> Self {
        Self {
            slots: 5,
            queue_capacity: 10,
            max_connections: 300,
            expected_latency: Duration::from_millis(40),
            cold_start_requests: 50,
            // One start in twenty keeps internal work such as invoicing progressing at little cost
            // in capacity for callers.
            starts_per_internal: 20,
            starts_per_oldest: 8,
            internal_queue_divisor: 8,
        }
    }
}

impl GateOptions {
    /// `from_service` takes the limits from the configuration of the service; `slots` is what the
    /// endpoint announced, and the configuration can lower it.
    pub fn from_service(service: &Service, slots: u16) -> Self {
        Self {
            slots: slots.min(service.slots.unwrap_or(u16::MAX)).max(1),
            queue_capacity: service.queue,
            max_connections: service.connections,
            expected_latency: service.expected_latency,
            cold_start_requests: service.cold_start_requests,
            ..Self::default()
        }
    }

    /// `internal_queue_reserve` returns the queue places that callers' requests never occupy, at
    /// most half of the queue.
    pub fn internal_queue_reserve(&self) -> u16 {
        let part = self.queue_capacity / self.internal_queue_divisor.max(1);
        part.max(1).min(self.queue_capacity / 2)
    }
}
