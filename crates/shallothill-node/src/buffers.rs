//! The bound on request bodies that are held in memory.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// `BufferBudget` counts the bytes of request bodies in memory.
#[derive(Clone, Debug)]
pub struct BufferBudget {
    used: Arc<AtomicUsize>,
    total: usize,
}

/// `BufferReservation` holds a share of the bound until it is dropped.
#[derive(Debug)]
pub struct BufferReservation {
    used: Arc<AtomicUsize>,
    bytes: usize,
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl BufferBudget {
    /// `new` allows `total` bytes.
    pub fn new(total: usize) -> Self {
        Self {
            used: Arc::default(),
            total,
        }
    }

    /// `reserve` takes `bytes`, or nothing when the bound does not allow it.
    pub fn reserve(&self, bytes: usize) -> Option<BufferReservation> {
        let add = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= self.total);
        self.used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
            .ok()?;
        Some(BufferReservation {
            used: Arc::clone(&self.used),
            bytes,
        })
    }

    /// `used_bytes` returns the bytes in use.
    pub fn used_bytes(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }
}
