//! Calls that backend servers of this host make while they run a request.

use std::sync::Arc;
use std::time::Duration;

use hyper::header::HeaderMap;
use rand::Rng;
use shallothill_core::ids::RouteName;
use shallothill_policy::backpressure::LONG_WAIT;
use shallothill_policy::retry::NextStep;
use tokio::time;

use crate::attempt::Call;
use crate::entry::Entry;
use crate::entry::run_state::{NO_BACKEND, RunState};
use crate::gate::ParentRequest;
use crate::header_filter;
use crate::refusal::Refusal;

/// `PAUSE_JITTER` bounds the random factor of a pause, so that calls which were refused together are
/// not sent again together.
const PAUSE_JITTER: std::ops::Range<f64> = 0.5..1.5;

impl Entry {
    /// `parent_of` returns the running request that a request with the headers `map` is a call of.
    pub(super) fn parent_of(&self, map: &HeaderMap) -> Option<Arc<ParentRequest>> {
        let interface = &self.deps.interface;
        if !interface.calls_share_deadline {
            return None;
        }
        let left = header_filter::single_value(map, interface.deadline_ms.as_str())?;
        let left = Duration::from_millis(left.parse().ok()?);
        let now = self.deps.timer.now();
        let parent = self.deps.gate.parent_requests().find(now + left);
        if parent.is_some() {
            self.deps.counters.count_call();
        }
        parent
    }

    /// `call_details` returns what gates are told of a call of `parent`.
    pub(super) fn call_details(&self, parent: &ParentRequest) -> Call {
        Call {
            spent: parent.spent(self.deps.timer.now()),
            repeated: parent.repeated,
        }
    }

    /// `wait_to_retry` waits before a call is sent again; `false` if the request is not sent again.
    pub(super) async fn wait_to_retry(&self, r: &mut RunState, next: NextStep) -> bool {
        match next {
            NextStep::Wait | NextStep::Return(_) => return false,
            NextStep::Retry => {}
            NextStep::RetryAfter(pause) => {
                self.deps.counters.count_call_pause();
                r.paused += pause;
                if let Some(parent) = r.parent.as_ref().filter(|_| r.paused >= LONG_WAIT) {
                    parent.record_shortage();
                }
                let factor = rand::rng().random_range(PAUSE_JITTER);
                time::sleep(pause.mul_f64(factor)).await;
                r.attempts.forget_refusals();
            }
        }
        true
    }

    /// `after_failed_pick` decides what follows when no attempt could be started because of
    /// `refusal`: a call waits until an endpoint can be picked.
    pub(super) fn after_failed_pick(&self, r: &RunState, refusal: &Refusal) -> NextStep {
        let now = self.deps.timer.now();
        let pause = r.attempts.call_pause(now, &r.options);
        match pause.filter(|_| *refusal == NO_BACKEND) {
            Some(pause) => NextStep::RetryAfter(pause.max(MIN_PICK_PAUSE)),
            None => NextStep::Return(refusal.outcome),
        }
    }

    /// `usual_latency` returns the time that an answer on `route` takes without waiting, as measured
    /// by this node.
    pub(super) fn usual_latency(&self, route: &RouteName) -> Duration {
        let known = self.latencies.lock();
        let known = known.unwrap_or_else(std::sync::PoisonError::into_inner);
        known.get(route).map_or(Duration::ZERO, |l| l.get())
    }

    /// `record_latency` records the time that an answer took.
    pub(super) fn record_latency(&self, route: &RouteName, latency: Duration) {
        let known = self.latencies.lock();
        let mut known = known.unwrap_or_else(std::sync::PoisonError::into_inner);
        if let Some(usual) = known.get_mut(route) {
            return usual.record(latency);
        }
        if known.len() < MAX_ROUTES {
            known.entry(route.clone()).or_default().record(latency);
        }
    }
}

/// `MIN_PICK_PAUSE` is the shortest pause before another pick after one that found no endpoint.
const MIN_PICK_PAUSE: Duration = Duration::from_millis(15);

/// `MAX_ROUTES` bounds the routes whose latency is tracked. Only calls use it, and few routes serve
/// calls.
const MAX_ROUTES: usize = 1024;
