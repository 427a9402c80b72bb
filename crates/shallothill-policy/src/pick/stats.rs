//! An entry node's own counters of one endpoint.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use shallothill_core::health::ServingState;
use shallothill_core::time::Millis;

/// `ReportedLoad` is the load that a gate returns with a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportedLoad {
    /// Running requests.
    pub in_flight: u16,
    /// Requests that may run concurrently now; lower than the announced slots during a cold start.
    pub slots: u16,
    /// Requests in the queue of the gate.
    pub queued: u16,
    /// The state of the endpoint at the gate.
    pub state: ServingState,
}

/// `EndpointStats` counts this entry node's requests to an endpoint and keeps the last load that
/// its gate reported.
#[derive(Debug, Default)]
pub struct EndpointStats {
    in_flight: AtomicU32,
    // `in_flight << 48 | slots << 32 | queued << 16 | state`, packed so that readers see a single
    // report.
    packed_load: AtomicU64,
    load_at_plus_one: AtomicU64,
    next_trial: AtomicU64,
}

const STATES: [ServingState; 6] = [
    ServingState::Ready,
    ServingState::Cold,
    ServingState::Demoted,
    ServingState::Ejected,
    ServingState::Draining,
    ServingState::Unproven,
];

impl EndpointStats {
    /// `start_request` counts a request to the endpoint until the returned guard is dropped.
    pub fn start_request(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight(Arc::clone(self))
    }

    /// `own_in_flight` returns the number of this entry node's running requests to the endpoint.
    pub fn own_in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// `record_load` records the load that the gate reported at `now`.
    pub fn record_load(&self, now: Millis, load: ReportedLoad) {
        let state = STATES.iter().position(|s| *s == load.state).unwrap_or(0) as u64;
        let packed = u64::from(load.in_flight) << 48
            | u64::from(load.slots) << 32
            | u64::from(load.queued) << 16
            | state;
        self.packed_load.store(packed, Ordering::Relaxed);
        // 0 means that nothing was reported yet.
        self.load_at_plus_one.store(now.0 + 1, Ordering::Release);
    }

    /// `recent_load` returns the last reported load unless it is older than `max_age`.
    pub fn recent_load(&self, now: Millis, max_age: Duration) -> Option<ReportedLoad> {
        let at = self
            .load_at_plus_one
            .load(Ordering::Acquire)
            .checked_sub(1)?;
        if now.saturating_since(Millis(at)) > max_age {
            return None;
        }
        let packed = self.packed_load.load(Ordering::Relaxed);
        Some(ReportedLoad {
            in_flight: (packed >> 48) as u16,
            slots: (packed >> 32) as u16,
            queued: (packed >> 16) as u16,
            state: STATES[(packed & 0xffff) as usize % STATES.len()],
        })
    }

    /// `claim_trial` returns whether a trial may be sent now; it then permits none for `interval`.
    pub fn claim_trial(&self, now: Millis, interval: Duration) -> bool {
        let due = self.next_trial.load(Ordering::Relaxed);
        now.0 >= due
            && self
                .next_trial
                .compare_exchange(
                    due,
                    (now + interval).0,
                    Ordering::Relaxed,
                    Ordering::Relaxed,
                )
                .is_ok()
    }
}

/// `InFlight` counts one request to an endpoint until it is dropped.
#[derive(Debug)]
pub struct InFlight(Arc<EndpointStats>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
