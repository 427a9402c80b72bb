//! The requests that the backend servers of this host run, by which their calls are recognised.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::Response;
use shallothill_core::class::Class;
use shallothill_core::time::Millis;
use shallothill_policy::calls::{RunningKey, RunningRequests};

use crate::attempt::RequestHead;

/// `ParentRequest` is a request that a backend server of this host runs.
#[derive(Debug)]
pub struct ParentRequest {
    /// The class, which its calls take over.
    pub class: Class,
    /// The rank, which its calls take over.
    pub rank: u8,
    /// Whether an earlier attempt may have run it, so that its calls are made again.
    pub repeated: bool,
    started: Millis,
    /// The work spent on the request that this one is itself a call of.
    spent_before: Duration,
    /// Whether a call of it waited long for capacity or was refused.
    shortage: AtomicBool,
}

/// `CallShortage` marks the response to a request of which a call lacked capacity.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallShortage;

impl ParentRequest {
    /// `new` describes a request that is written to a backend server at `now`.
    pub(super) fn new(head: &RequestHead, repeated: bool, now: Millis) -> Self {
        Self {
            class: head.class,
            rank: head.rank,
            repeated,
            started: now,
            spent_before: head.call.map_or(Duration::ZERO, |c| c.spent),
            shortage: AtomicBool::new(false),
        }
    }

    /// `record_shortage` records that a call of the request waited long for capacity or was refused.
    pub(crate) fn record_shortage(&self) {
        self.shortage.store(true, Ordering::Relaxed);
    }

    /// `spent` returns the time that backend servers have worked for the request until `now`.
    pub fn spent(&self, now: Millis) -> Duration {
        self.spent_before + now.saturating_since(self.started)
    }
}

/// `ParentRequests` finds the running request that a call belongs to; clones share their state.
#[derive(Clone, Debug, Default)]
pub(crate) struct ParentRequests(Arc<Mutex<RunningRequests<Arc<ParentRequest>>>>);

impl ParentRequests {
    /// `track` adds a request whose backend server is told that it ends at `deadline`, until the
    /// returned guard is dropped.
    pub(super) fn track(&self, deadline: Millis, parent: ParentRequest) -> TrackedParent {
        let parent = Arc::new(parent);
        let key = self.lock().insert(deadline, Arc::clone(&parent));
        TrackedParent {
            key,
            parent,
            requests: self.clone(),
        }
    }

    /// `find` returns the running request of a call that ends at `deadline`.
    pub(crate) fn find(&self, deadline: Millis) -> Option<Arc<ParentRequest>> {
        self.lock().find(deadline).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, RunningRequests<Arc<ParentRequest>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// `TrackedParent` is a running request; dropping it ends the recognition of its calls.
#[derive(Debug)]
pub(crate) struct TrackedParent {
    key: RunningKey,
    parent: Arc<ParentRequest>,
    requests: ParentRequests,
}

impl TrackedParent {
    /// `mark_response` marks the response if a call of the request lacked capacity.
    pub(super) fn mark_response<B>(&self, response: &mut Response<B>) {
        if self.parent.shortage.load(Ordering::Relaxed) {
            response.extensions_mut().insert(CallShortage);
        }
    }
}

impl Drop for TrackedParent {
    fn drop(&mut self) {
        self.requests.lock().remove(self.key);
    }
}
