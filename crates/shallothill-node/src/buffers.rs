//! The memory budget for request bodies.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// `BufferBudget` bounds the bytes of request bodies in memory, over all requests of the node.
#[derive(Clone, Debug)]
pub struct BufferBudget {
    used: Arc<AtomicUsize>,
    total_bytes: usize,
}

/// `BufferReservation` holds a part of the budget until it is dropped.
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
    /// `new` builds a budget of `total_bytes` bytes.
    pub fn new(total_bytes: usize) -> Self {
        Self {
            used: Arc::default(),
            total_bytes,
        }
    }

    /// `reserve` reserves `bytes`; returns `None` when the budget does not suffice.
    pub fn reserve(&self, bytes: usize) -> Option<BufferReservation> {
        let add = |used: usize| {
            used.checked_add(bytes)
                .filter(|sum| *sum <= self.total_bytes)
        };
        self.used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
            .ok()?;
        Some(BufferReservation {
            used: Arc::clone(&self.used),
            bytes,
        })
    }

    /// `used_bytes` returns the number of reserved bytes.
    pub fn used_bytes(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }
}
