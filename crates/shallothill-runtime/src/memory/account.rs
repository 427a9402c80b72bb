//! The account of all bytes that are held for clients.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Waker;
use std::time::Duration;

use tokio::time;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tracing::warn;

use crate::memory::Holder;
use crate::memory::holder::HolderState;

/// `CHECK_PERIOD` is the time between two looks for holders without progress.
pub const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// `MIN_STALL` is the time without progress after which a holder may be ended when memory is short.
/// A client on a distant link is silent for less between two packets.
const MIN_STALL: Duration = Duration::from_millis(500);

/// `FREED_DIVISOR` gives the part of the account that is freed when memory is short, so that it does
/// not run short again at once.
const FREED_DIVISOR: usize = 8;

/// `MemoryOptions` bounds an account and the progress of clients.
#[derive(Clone, Copy, Debug)]
pub struct MemoryOptions {
    /// The bytes that may be held at a time.
    pub total_bytes: usize,
    /// The least progress of a client that the process waits for, in bytes a second.
    pub min_bytes_per_s: u64,
    /// The time for which a client may stay behind the least progress.
    pub stall_limit: Duration,
}

impl MemoryOptions {
    /// `new` bounds an account to `total_bytes`. A client may be silent for 20 s, which is longer than
    /// the time limits of requests and than backend servers wait for readers.
    pub fn new(total_bytes: usize) -> Self {
        Self {
            total_bytes,
            min_bytes_per_s: 64,
            stall_limit: Duration::from_secs(20),
        }
    }
}

/// `MemoryCounts` counts what happened to holders since the start of the process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MemoryCounts {
    /// Holders that were ended because memory was short.
    pub evicted: u64,
    /// Holders that were ended because their client stayed behind the least progress.
    pub too_slow: u64,
    /// Reservations that were refused.
    pub refused: u64,
}

/// `MemoryAccount` counts the bytes that are held for clients; clones share it.
#[derive(Clone, Debug)]
pub struct MemoryAccount(pub(super) Arc<Inner>);

#[derive(Debug)]
pub(super) struct Inner {
    options: MemoryOptions,
    started: Instant,
    used: AtomicUsize,
    next_id: AtomicU64,
    holders: Mutex<BTreeMap<u64, Arc<HolderState>>>,
    waiters: Mutex<Vec<Waker>>,
    evicted: AtomicU64,
    too_slow: AtomicU64,
    refused: AtomicU64,
}

impl MemoryAccount {
    /// `new` builds an account without holders.
    pub fn new(options: MemoryOptions) -> Self {
        Self(Arc::new(Inner {
            options,
            started: Instant::now(),
            used: AtomicUsize::new(0),
            next_id: AtomicU64::new(0),
            holders: Mutex::default(),
            waiters: Mutex::default(),
            evicted: AtomicU64::new(0),
            too_slow: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        }))
    }

    /// `holder` adds a holder, which is newer than all before.
    pub fn holder(&self) -> Holder {
        self.add_holder(None)
    }

    /// `connection_holder` is [`Self::holder`] for a connection to the listener at `address`.
    pub fn connection_holder(&self, address: Option<SocketAddr>) -> Holder {
        self.add_holder(address)
    }

    fn add_holder(&self, listener: Option<SocketAddr>) -> Holder {
        let id = self.0.next_id.fetch_add(1, Ordering::Relaxed);
        let state = Arc::new(HolderState::new(id, listener));
        lock(&self.0.holders).insert(id, Arc::clone(&state));
        Holder::new(self.clone(), state)
    }

    /// `used_bytes` returns the number of reserved bytes.
    pub fn used_bytes(&self) -> usize {
        self.0.used.load(Ordering::Relaxed)
    }

    /// `free_bytes` returns the number of bytes that may still be reserved.
    pub fn free_bytes(&self) -> usize {
        let total = self.0.options.total_bytes;
        total.saturating_sub(self.used_bytes())
    }

    /// `counts` returns what happened to holders since the start.
    pub fn counts(&self) -> MemoryCounts {
        MemoryCounts {
            evicted: self.0.evicted.load(Ordering::Relaxed),
            too_slow: self.0.too_slow.load(Ordering::Relaxed),
            refused: self.0.refused.load(Ordering::Relaxed),
        }
    }

    /// `run` ends holders without progress until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let mut check = time::interval(CHECK_PERIOD);
        check.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = check.tick() => self.check(),
                () = stop.cancelled() => return,
            }
        }
    }

    /// `evict_newest` ends the newest connection to the listener at `address` whose client makes no progress, and returns
    /// whether there was one.
    pub fn evict_newest(&self, address: Option<SocketAddr>) -> bool {
        let now = self.0.now_ms();
        let holders = lock(&self.0.holders);
        let stalled =
            |h: &&Arc<HolderState>| h.is_connection_to(address) && h.can_be_ended(now, MIN_STALL);
        let Some(newest) = holders.values().rev().find(stalled) else {
            return false;
        };
        newest.end();
        self.0.evicted.fetch_add(1, Ordering::Relaxed);
        true
    }

    fn check(&self) {
        let now = self.0.now_ms();
        let holders: Vec<_> = lock(&self.0.holders).values().cloned().collect();
        let limit = self.0.options.stall_limit;
        let slow = holders
            .iter()
            .filter(|h| !h.waits_for_memory() && h.can_be_ended(now, limit));
        let slow = slow.inspect(|h| h.end()).count() as u64;
        if slow > 0 {
            self.0.too_slow.fetch_add(slow, Ordering::Relaxed);
            warn!("memory: {slow} clients are closed because they make no progress");
        }
        let has_waiters = !lock(&self.0.waiters).is_empty();
        if has_waiters {
            self.evict(&holders, now);
        }
    }

    fn evict(&self, holders: &[Arc<HolderState>], now: u64) {
        let goal = self.0.options.total_bytes / FREED_DIVISOR;
        let mut freed = 0;
        let mut count = 0;
        let stalled = holders.iter().rev();
        let stalled = stalled.filter(|h| h.freed_by_end() > 0 && h.can_be_ended(now, MIN_STALL));
        let by_client = stalled.clone().filter(|h| !h.waits_for_memory());
        // If all wait for memory, the oldest get it only when a newer one gives way.
        let by_memory = stalled.filter(|h| h.waits_for_memory());
        for holder in by_client.chain(by_memory.take(1)) {
            if freed >= goal {
                break;
            }
            holder.end();
            freed += holder.freed_by_end();
            count += 1;
        }
        if count > 0 {
            self.0.evicted.fetch_add(count, Ordering::Relaxed);
            let used = self.used_bytes();
            warn!("memory: {used} bytes are held; {count} clients without progress are closed");
        }
        // A holder that waits for memory notices its end.
        self.0.wake();
    }
}

impl Inner {
    pub(super) fn now_ms(&self) -> u64 {
        // Zero means that a holder does not wait.
        self.started.elapsed().as_millis() as u64 + 1
    }

    pub(super) fn min_bytes_per_s(&self) -> u64 {
        self.options.min_bytes_per_s
    }

    pub(super) fn try_add(&self, bytes: usize) -> bool {
        let add = |used: usize| {
            let sum = used.checked_add(bytes);
            sum.filter(|sum| *sum <= self.options.total_bytes)
        };
        let added = self
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        added.is_ok()
    }

    pub(super) fn subtract(&self, bytes: usize) {
        if bytes > 0 {
            self.used.fetch_sub(bytes, Ordering::Relaxed);
            self.wake();
        }
    }

    /// `can_ever_hold` tells whether `bytes` fit an empty account.
    pub(super) fn can_ever_hold(&self, bytes: usize) -> bool {
        bytes <= self.options.total_bytes
    }

    pub(super) fn count_refusal(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn wait(&self, waker: &Waker) {
        lock(&self.waiters).push(waker.clone());
    }

    pub(super) fn remove(&self, id: u64) {
        lock(&self.holders).remove(&id);
    }

    fn wake(&self) {
        let waiters = std::mem::take(&mut *lock(&self.waiters));
        waiters.into_iter().for_each(Waker::wake);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
