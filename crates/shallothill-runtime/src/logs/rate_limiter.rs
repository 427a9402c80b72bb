//! Limits the lines per second that each callsite may log.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Instant;

use tracing::callsite::Identifier;
use tracing::{Event, Subscriber};
use tracing_subscriber::Layer;
use tracing_subscriber::layer::Context;

/// `CallsiteCounter` counts the lines of one callsite in the current second and those dropped.
#[derive(Debug)]
struct CallsiteCounter {
    name: &'static str,
    second: AtomicU64,
    lines: AtomicU32,
    dropped: AtomicU64,
}

/// `LogRateLimiter` bounds the lines per second of each callsite and counts those above the limit.
#[derive(Debug)]
pub struct LogRateLimiter {
    lines_per_s: u32,
    start: Instant,
    callsites: RwLock<HashMap<Identifier, Arc<CallsiteCounter>>>,
}

impl LogRateLimiter {
    /// `new` allows `lines_per_s` lines per second for each callsite.
    pub fn new(lines_per_s: u32) -> Self {
        Self {
            lines_per_s,
            start: Instant::now(),
            callsites: RwLock::default(),
        }
    }

    /// `try_acquire` counts a line of the callsite `id` with the name `name`, and returns whether it
    /// may be written.
    pub fn try_acquire(&self, id: Identifier, name: &'static str) -> bool {
        self.try_acquire_at(self.start.elapsed().as_secs(), id, name)
    }

    /// `try_acquire_at` does the same as [`Self::try_acquire`] with `second` as the current time, in
    /// seconds since the start.
    pub fn try_acquire_at(&self, second: u64, id: Identifier, name: &'static str) -> bool {
        let counter = self.counter(id, name);
        if counter.second.swap(second, Ordering::Relaxed) != second {
            counter.lines.store(0, Ordering::Relaxed);
        }
        let allowed = counter.lines.fetch_add(1, Ordering::Relaxed) < self.lines_per_s;
        if !allowed {
            counter.dropped.fetch_add(1, Ordering::Relaxed);
        }
        allowed
    }

    /// `take_dropped` returns the names of the callsites that lost lines since the last call, with
    /// the number of lines, and resets the numbers.
    pub fn take_dropped(&self) -> Vec<(&'static str, u64)> {
        let callsites = self
            .callsites
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        let dropped = callsites
            .values()
            .map(|c| (c.name, c.dropped.swap(0, Ordering::Relaxed)));
        let mut dropped: Vec<_> = dropped.filter(|(_, n)| *n > 0).collect();
        dropped.sort_unstable();
        dropped
    }

    fn counter(&self, id: Identifier, name: &'static str) -> Arc<CallsiteCounter> {
        let callsites = self
            .callsites
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(counter) = callsites.get(&id) {
            return Arc::clone(counter);
        }
        drop(callsites);
        let mut callsites = self
            .callsites
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let new = || {
            Arc::new(CallsiteCounter {
                name,
                second: AtomicU64::new(0),
                lines: AtomicU32::new(0),
                dropped: AtomicU64::new(0),
            })
        };
        Arc::clone(callsites.entry(id).or_insert_with(new))
    }
}

/// `RateLimitLayer` drops the lines that the limiter rejects.
#[derive(Debug)]
pub(crate) struct RateLimitLayer(pub(crate) Arc<LogRateLimiter>);

impl<S: Subscriber> Layer<S> for RateLimitLayer {
    fn event_enabled(&self, event: &Event<'_>, _: Context<'_, S>) -> bool {
        let metadata = event.metadata();
        self.0.try_acquire(metadata.callsite(), metadata.name())
    }
}
