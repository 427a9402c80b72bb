//! Rate and concurrency limits of callers.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use shallothill_core::config::Caller;
use shallothill_core::hash;
use shallothill_core::ids::CallerName;
use shallothill_core::time::Millis;

use crate::limits::options::LimitOptions;

const SHARD_COUNT: usize = 64;
const MICROS_PER_SECOND: u64 = 1_000_000;

#[derive(Debug, Default)]
struct Usage {
    running: AtomicU32,
    // When the leaky bucket of accepted requests is empty again, in microseconds.
    bucket_empty_at_us: AtomicU64,
}

/// `OverLimit` rejects a request of a caller that is over its limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OverLimit {
    /// How long to wait before sending the request again.
    pub retry_after: Duration,
}

/// `Permit` counts a running request of a caller until it is dropped.
#[derive(Debug)]
pub struct Permit(Option<Arc<Usage>>);

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(usage) = &self.0 {
            usage.running.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// `CallerLimits` enforces the limits of callers in bounded memory.
///
/// Its locks are held for one map access only and never across an await.
#[derive(Debug)]
pub struct CallerLimits {
    shards: Vec<Mutex<HashMap<CallerName, Arc<Usage>>>>,
    max_per_shard: usize,
}

impl CallerLimits {
    /// `new` creates limits that track no caller yet.
    pub fn new(options: &LimitOptions) -> Self {
        Self {
            shards: (0..SHARD_COUNT).map(|_| Mutex::default()).collect(),
            max_per_shard: options.max_callers.div_ceil(SHARD_COUNT),
        }
    }

    /// `try_start` accepts or rejects a request of `name` under the limits of `caller`. The rate
    /// limit permits a burst of one second's requests.
    pub fn try_start(
        &self,
        now: Millis,
        name: &CallerName,
        caller: &Caller,
    ) -> Result<Permit, OverLimit> {
        if caller.requests_per_s.is_none() && caller.concurrent.is_none() {
            return Ok(Permit(None));
        }
        let usage = self.usage(now, name)?;
        let limit = caller.concurrent.unwrap_or(u32::MAX);
        let increment = |n: u32| (n < limit).then(|| n + 1);
        let counted = usage
            .running
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, increment);
        if counted.is_err() {
            // How long its other requests will run is unknown; a short delay prevents a tight loop.
            let retry_after = Duration::from_millis(100);
            return Err(OverLimit { retry_after });
        }
        let permit = Permit(Some(Arc::clone(&usage)));
        if let Some(rate) = caller.requests_per_s {
            charge(&usage, now, rate)?;
        }
        Ok(permit)
    }

    /// `len` returns the number of tracked callers.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|s| lock(s).len()).sum()
    }

    /// `is_empty` returns whether no caller is tracked.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn usage(&self, now: Millis, name: &CallerName) -> Result<Arc<Usage>, OverLimit> {
        let shard = hash::hash64(name.as_str().as_bytes()) as usize % SHARD_COUNT;
        let mut callers = lock(&self.shards[shard]);
        if let Some(usage) = callers.get(name) {
            return Ok(Arc::clone(usage));
        }
        if callers.len() >= self.max_per_shard {
            // A caller without running requests whose bucket is empty has no state to lose.
            callers.retain(|_, u| {
                Arc::strong_count(u) > 1
                    || u.bucket_empty_at_us.load(Ordering::Relaxed) > now.0 * 1000
            });
        }
        if callers.len() >= self.max_per_shard {
            let retry_after = Duration::from_secs(1);
            return Err(OverLimit { retry_after });
        }
        let usage = Arc::<Usage>::default();
        callers.insert(name.clone(), Arc::clone(&usage));
        Ok(usage)
    }
}

fn charge(usage: &Usage, now: Millis, rate: u32) -> Result<(), OverLimit> {
    let now_us = now.0.saturating_mul(1000);
    let cost = MICROS_PER_SECOND / u64::from(rate.max(1));
    let next = |at: u64| {
        let next = at.max(now_us) + cost;
        (next <= now_us + MICROS_PER_SECOND.max(cost)).then_some(next)
    };
    let charged = usage
        .bucket_empty_at_us
        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, next);
    charged.map(|_| ()).map_err(|at| {
        let wait = (at + cost).saturating_sub(now_us + MICROS_PER_SECOND.max(cost));
        OverLimit {
            retry_after: Duration::from_micros(wait.max(1000)),
        }
    })
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A panic can't leave the map inconsistent, since every change of it is a single call.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
