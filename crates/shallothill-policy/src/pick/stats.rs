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
    /// The time for which the gate will hold on to a suspicion without further evidence, in
    /// milliseconds; 0 if it is unknown.
    pub state_valid_ms: u16,
}

/// `EndpointStats` counts this entry node's requests to an endpoint and keeps the last load that
/// its gate reported.
#[derive(Debug, Default)]
pub struct EndpointStats {
    in_flight: AtomicU32,
    // `in_flight << 48 | slots << 32 | queued << 16 | state`, packed so that readers see a single
    // report.
    packed_load: AtomicU64,
    state_valid_ms: AtomicU32,
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
        // A reader may see the time of another report than the state; it is an estimate.
        self.state_valid_ms
            .store(u32::from(load.state_valid_ms), Ordering::Relaxed);
        // 0 means that nothing was reported yet.
        self.load_at_plus_one.store(now.0 + 1, Ordering::Release);
    }

    /// `recent_load` returns the last reported load unless it is older than `max_age`.
    pub fn recent_load(&self, now: Millis, max_age: Duration) -> Option<ReportedLoad> {
        let (load, age) = self.last_load(now)?;
        (age <= max_age).then_some(load)
    }

    /// `believed_state` returns the last reported state unless it is older than `max_age` and than
    /// the time for which the gate said that it is valid.
    pub fn believed_state(&self, now: Millis, max_age: Duration) -> Option<ServingState> {
        let (load, age) = self.last_load(now)?;
        let valid = Duration::from_millis(u64::from(load.state_valid_ms));
        (age <= max_age.max(valid)).then_some(load.state)
    }

    fn last_load(&self, now: Millis) -> Option<(ReportedLoad, Duration)> {
        let at = self
            .load_at_plus_one
            .load(Ordering::Acquire)
            .checked_sub(1)?;
        let packed = self.packed_load.load(Ordering::Relaxed);
        let valid_ms = self.state_valid_ms.load(Ordering::Relaxed);
        let load = ReportedLoad {
            in_flight: (packed >> 48) as u16,
            slots: (packed >> 32) as u16,
            queued: (packed >> 16) as u16,
            state: STATES[(packed & 0xffff) as usize % STATES.len()],
            state_valid_ms: valid_ms as u16,
        };
        Some((load, now.saturating_since(Millis(at))))
    }

    /// `postpone_trial` permits no trial until `until`.
    pub fn postpone_trial(&self, until: Millis) {
        self.next_trial.fetch_max(until.0, Ordering::Relaxed);
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
