//! Reserves the bytes that a connection reads before a message is complete.

use std::io;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use crate::memory::{Holder, Reservation};

/// `FREE_BYTES` are read without a reservation; nearly all heads and calls are smaller.
const FREE_BYTES: usize = 8 * 1024;

/// `STEP_BYTES` is reserved at a time.
const STEP_BYTES: usize = 16 * 1024;

/// `InputMeter` counts what was read of a message that is not complete.
#[derive(Debug)]
pub struct InputMeter {
    holder: Holder,
    max_bytes: usize,
    input: Mutex<Input>,
}

#[derive(Debug, Default)]
struct Input {
    unconsumed: usize,
    reserved: Option<Reservation>,
}

impl InputMeter {
    /// `new` reserves for `holder`, at most `max_bytes`. More than that is never in memory, because
    /// the reader of the connection passes it on.
    pub fn new(holder: Holder, max_bytes: usize) -> Self {
        Self {
            holder,
            max_bytes,
            input: Mutex::default(),
        }
    }

    /// `holder` returns the holder of the connection.
    pub fn holder(&self) -> &Holder {
        &self.holder
    }

    /// `consumed` records that only the last `left` bytes are still in memory.
    pub fn consumed(&self, left: usize) {
        let mut input = self.lock();
        input.unconsumed = left;
        if left <= FREE_BYTES {
            input.reserved = None;
        } else if let Some(reserved) = &mut input.reserved {
            reserved.shrink_to(left);
        }
    }

    /// `is_within_message` tells whether a part of a message was read.
    pub fn is_within_message(&self) -> bool {
        self.lock().unconsumed > 0
    }

    /// `poll_ready` waits until one more read may be kept; fails when the account has ended the holder.
    pub fn poll_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut input = self.lock();
        let needed = (input.unconsumed + STEP_BYTES).min(self.max_bytes);
        let reserved = input.reserved.as_ref().map_or(0, Reservation::bytes);
        if input.unconsumed < FREE_BYTES || reserved >= needed {
            return Poll::Ready(Ok(()));
        }
        let more = ready!(self.holder.poll_reserve(cx, needed - reserved));
        let more = more.ok_or_else(|| io::Error::from(io::ErrorKind::OutOfMemory))?;
        match &mut input.reserved {
            Some(reserved) => reserved.merge(more),
            None => input.reserved = Some(more),
        }
        Poll::Ready(Ok(()))
    }

    /// `record_read` adds `bytes` that were read.
    pub fn record_read(&self, bytes: usize) {
        self.lock().unconsumed += bytes;
        self.holder.record_progress(bytes);
    }

    fn lock(&self) -> MutexGuard<'_, Input> {
        self.input.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
