//! Bounds of a gate.

use std::time::Duration;

use shallothill_core::config::Service;

/// `GateOptions` holds the bounds of one endpoint's gate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GateOptions {
    /// Requests that the endpoint runs at a time.
    pub slots: u16,
    /// Requests that may wait.
    pub queue_capacity: u16,
    /// Connections that the gate may have open to the endpoint.
    pub max_connections: u32,
    /// Expected time of an answer, until completions tell better.
    pub expected_latency: Duration,
    /// Requests that a cold endpoint serves before it takes its full share; 0 for endpoints that are
    /// only slow while they are cold, so that fewer slots would serve fewer requests.
    pub cold_start_requests: u32,
    /// Of this many starts, one goes to internal work while both kinds wait.
    pub starts_per_internal: u32,
    /// Of this many starts of callers' requests, one goes to the request that has waited longest.
    pub starts_per_oldest: u32,
    /// Part of the queue (one in this many places, at least one) that internal work keeps.
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
            // A twentieth keeps invoices moving and costs callers little of the capacity.
            starts_per_internal: 20,
            starts_per_oldest: 8,
            internal_queue_divisor: 8,
        }
    }
}

impl GateOptions {
    /// `from_service` takes the bounds from the configuration and the announced `slots`.
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

    /// `internal_queue` returns the places of the queue that callers' requests never take.
    pub fn internal_queue_reserve(&self) -> u16 {
        let part = self.queue_capacity / self.internal_queue_divisor.max(1);
        part.max(1).min(self.queue_capacity / 2)
    }
}
