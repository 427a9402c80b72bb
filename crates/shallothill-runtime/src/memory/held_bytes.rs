//! A message body that is collected within the account.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;

use crate::memory::{Holder, Reservation};

/// `CHUNK_BYTES` is reserved at a time. Equal chunks leave no holes in the heap, as growing buffers do.
const CHUNK_BYTES: usize = 16 * 1024;

/// `HeldBytes` collects the bytes of a body. Their memory is reserved as they arrive, not as they are
/// announced, so that a client that sends nothing holds nothing.
#[derive(Debug)]
pub struct HeldBytes {
    holder: Holder,
    chunks: Vec<Vec<u8>>,
    len: usize,
    reserved: Option<Reservation>,
}

impl HeldBytes {
    /// `new` reserves for `holder`.
    pub fn new(holder: Holder) -> Self {
        Self {
            holder,
            chunks: Vec::new(),
            len: 0,
            reserved: None,
        }
    }

    /// `len` returns the number of bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// `is_empty` tells whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// `receive` waits for the next part of the body; `None` when the account ends the body, since
    /// memory is short or its sender makes no progress.
    pub async fn receive<T>(&self, part: impl Future<Output = T>) -> Option<T> {
        self.holder.start_waiting();
        tokio::select! {
            biased;
            part = part => Some(part),
            () = self.holder.ended() => None,
        }
    }

    /// `append` adds `data` and waits at most `limit` for the memory; returns whether there was enough.
    /// `expected` is the length of the body, as far as it is known.
    pub async fn append(&mut self, mut data: &[u8], expected: usize, limit: Duration) -> bool {
        self.holder.record_progress(data.len());
        while !data.is_empty() {
            let spare = self.chunks.last().map_or(0, |c| c.capacity() - c.len());
            if spare == 0 {
                let left = expected.saturating_sub(self.len).max(data.len());
                let bytes = left.min(CHUNK_BYTES);
                let Some(more) = self.holder.reserve_within(bytes, limit).await else {
                    return false;
                };
                match &mut self.reserved {
                    Some(reserved) => reserved.merge(more),
                    None => self.reserved = Some(more),
                }
                self.chunks.push(Vec::with_capacity(bytes));
            }
            let Some(chunk) = self.chunks.last_mut() else {
                return false;
            };
            let (first, rest) = data.split_at(data.len().min(chunk.capacity() - chunk.len()));
            chunk.extend_from_slice(first);
            self.len += first.len();
            data = rest;
        }
        true
    }

    /// `into_bytes` returns the bytes, whose reservation lasts until their last copy is dropped.
    pub fn into_bytes(mut self) -> Bytes {
        let bytes = match self.chunks.pop() {
            Some(only) if self.chunks.is_empty() => Bytes::from(only),
            Some(last) => {
                self.chunks.push(last);
                Bytes::from(self.chunks.concat())
            }
            None => Bytes::new(),
        };
        match self.reserved {
            Some(reserved) => reserved.attach(bytes),
            None => bytes,
        }
    }
}
