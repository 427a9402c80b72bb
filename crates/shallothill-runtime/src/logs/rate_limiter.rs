//! A budget of lines a second for each kind of line.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Instant;

use tracing::callsite::Identifier;
use tracing::{Event, Subscriber};
use tracing_subscriber::Layer;
use tracing_subscriber::layer::Context;

/// `Kind` counts the lines of one place in the source.
#[derive(Debug)]
struct Kind {
    name: &'static str,
    second: AtomicU64,
    lines: AtomicU32,
    dropped: AtomicU64,
}

/// `LogRateLimiter` bounds the lines of each kind and counts those beyond.
#[derive(Debug)]
pub struct LogRateLimiter {
    lines_per_s: u32,
    start: Instant,
    kinds: RwLock<HashMap<Identifier, Arc<Kind>>>,
}

impl LogRateLimiter {
    /// `new` try_acquire `lines_per_s` lines of each kind.
    pub fn new(lines_per_s: u32) -> Self {
        Self {
            lines_per_s,
            start: Instant::now(),
            kinds: RwLock::default(),
        }
    }

    /// `try_acquire` counts a line of `kind`, which is called `name`, and tells whether it is written.
    pub fn try_acquire(&self, kind: Identifier, name: &'static str) -> bool {
        self.try_acquire_at(self.start.elapsed().as_secs(), kind, name)
    }

    /// `try_acquire_at` is [`Self::try_acquire`] at `second` since the start.
    pub fn try_acquire_at(&self, second: u64, kind: Identifier, name: &'static str) -> bool {
        let kind = self.kind(kind, name);
        if kind.second.swap(second, Ordering::Relaxed) != second {
            kind.lines.store(0, Ordering::Relaxed);
        }
        let allowed = kind.lines.fetch_add(1, Ordering::Relaxed) < self.lines_per_s;
        if !allowed {
            kind.dropped.fetch_add(1, Ordering::Relaxed);
        }
        allowed
    }

    /// `take_dropped` returns the kinds of which lines were dropped since the last call, with their
    /// numbers.
    pub fn take_dropped(&self) -> Vec<(&'static str, u64)> {
        let kinds = self.kinds.read().unwrap_or_else(PoisonError::into_inner);
        let dropped = kinds
            .values()
            .map(|k| (k.name, k.dropped.swap(0, Ordering::Relaxed)));
        let mut dropped: Vec<_> = dropped.filter(|(_, n)| *n > 0).collect();
        dropped.sort_unstable();
        dropped
    }

    fn kind(&self, id: Identifier, name: &'static str) -> Arc<Kind> {
        let kinds = self.kinds.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(kind) = kinds.get(&id) {
            return Arc::clone(kind);
        }
        drop(kinds);
        let mut kinds = self.kinds.write().unwrap_or_else(PoisonError::into_inner);
        let new = || {
            Arc::new(Kind {
                name,
                second: AtomicU64::new(0),
                lines: AtomicU32::new(0),
                dropped: AtomicU64::new(0),
            })
        };
        Arc::clone(kinds.entry(id).or_insert_with(new))
    }
}

/// `RateLimitLayer` drops lines beyond the budget.
#[derive(Debug)]
pub(crate) struct RateLimitLayer(pub(crate) Arc<LogRateLimiter>);

impl<S: Subscriber> Layer<S> for RateLimitLayer {
    fn event_enabled(&self, event: &Event<'_>, _: Context<'_, S>) -> bool {
        let metadata = event.metadata();
        self.0.try_acquire(metadata.callsite(), metadata.name())
    }
}
