//! The number of bytes that a connection has received.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// `ReceivedBytes` counts the bytes that a connection receives; clones share the count.
#[derive(Clone, Debug, Default)]
pub struct ReceivedBytes(Arc<AtomicU64>);

impl ReceivedBytes {
    /// `add` counts `n` more bytes.
    pub fn add(&self, n: usize) {
        self.0.fetch_add(n as u64, Ordering::Relaxed);
    }

    /// `count` returns the number of bytes received so far.
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}
