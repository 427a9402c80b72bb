//! What holds bytes for one client: a connection or a message body.

use std::future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::memory::{MemoryAccount, Reservation};

/// `UNWRITTEN_BYTES` estimates what is held for a client that does not read.
const UNWRITTEN_BYTES: usize = 64 * 1024;

/// `HolderState` is what the account knows of a holder.
#[derive(Debug)]
pub(super) struct HolderState {
    id: u64,
    /// The address of the listener of a connection; `None` for a body.
    listener: Option<SocketAddr>,
    bytes: AtomicUsize,
    /// The time up to which the client made enough progress, in milliseconds of the account's clock;
    /// 0 while the process waits neither for the client nor for memory.
    progress_until_ms: AtomicU64,
    waits_for_memory: AtomicBool,
    /// Whether the client does not take what the process writes.
    writes: AtomicBool,
    ended: CancellationToken,
}

impl HolderState {
    pub(super) fn new(id: u64, listener: Option<SocketAddr>) -> Self {
        Self {
            id,
            listener,
            bytes: AtomicUsize::new(0),
            progress_until_ms: AtomicU64::new(0),
            waits_for_memory: AtomicBool::new(false),
            writes: AtomicBool::new(false),
            ended: CancellationToken::new(),
        }
    }

    /// `freed_by_end` returns the bytes that the end of the holder frees. What waits to be written is
    /// held by others and estimated.
    pub(super) fn freed_by_end(&self) -> usize {
        let unwritten = if self.writes.load(Ordering::Relaxed) {
            UNWRITTEN_BYTES
        } else {
            0
        };
        self.bytes.load(Ordering::Relaxed) + unwritten
    }

    /// `waits_for_memory` tells whether the holder waits for memory and not for its client.
    pub(super) fn waits_for_memory(&self) -> bool {
        self.waits_for_memory.load(Ordering::Relaxed)
    }

    pub(super) fn subtract(&self, bytes: usize) {
        self.bytes.fetch_sub(bytes, Ordering::Relaxed);
    }

    pub(super) fn end(&self) {
        self.ended.cancel();
    }

    pub(super) fn is_connection_to(&self, listener: Option<SocketAddr>) -> bool {
        listener.is_some() && self.listener == listener
    }

    /// `can_be_ended` tells whether the holder has not ended and made no progress for `stall`.
    pub(super) fn can_be_ended(&self, now_ms: u64, stall: Duration) -> bool {
        let progress_until = self.progress_until_ms.load(Ordering::Relaxed);
        let behind = now_ms.saturating_sub(progress_until);
        progress_until > 0 && u128::from(behind) >= stall.as_millis() && !self.ended.is_cancelled()
    }
}

/// `Holder` reserves bytes for one client; the account may end it while its client makes no progress.
#[derive(Debug)]
pub struct Holder {
    account: MemoryAccount,
    state: Arc<HolderState>,
}

impl Drop for Holder {
    fn drop(&mut self) {
        self.account.0.remove(self.state.id);
    }
}

impl Holder {
    pub(super) fn new(account: MemoryAccount, state: Arc<HolderState>) -> Self {
        Self { account, state }
    }

    /// `start_waiting` marks that the process waits for the client from now on.
    pub fn start_waiting(&self) {
        let now = self.account.0.now_ms();
        let progress = &self.state.progress_until_ms;
        let _ = progress.compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed);
    }

    /// `start_writing` marks that the process waits until the client takes more bytes.
    pub fn start_writing(&self) {
        self.state.writes.store(true, Ordering::Relaxed);
        self.start_waiting();
    }

    /// `is_writing` tells whether the process waits until the client takes more bytes.
    pub fn is_writing(&self) -> bool {
        self.state.writes.load(Ordering::Relaxed)
    }

    /// `stop_waiting` marks that the process does not wait for the client.
    pub fn stop_waiting(&self) {
        self.state.writes.store(false, Ordering::Relaxed);
        self.state.progress_until_ms.store(0, Ordering::Relaxed);
    }

    /// `record_progress` records that the client sent or took `bytes`.
    pub fn record_progress(&self, bytes: usize) {
        let now = self.account.0.now_ms();
        let rate = self.account.0.min_bytes_per_s().max(1);
        let ms = (bytes as u64).saturating_mul(1000) / rate;
        let advance = |until: u64| (until > 0).then(|| until.saturating_add(ms).min(now));
        let progress = &self.state.progress_until_ms;
        let _ = progress.fetch_update(Ordering::Relaxed, Ordering::Relaxed, advance);
    }

    /// `end_token` is cancelled when the account ends the holder.
    pub fn end_token(&self) -> CancellationToken {
        self.state.ended.clone()
    }

    /// `ended` returns once the account has ended the holder.
    pub async fn ended(&self) {
        self.state.ended.cancelled().await;
    }

    /// `has_ended` tells whether the account has ended the holder.
    pub fn has_ended(&self) -> bool {
        self.state.ended.is_cancelled()
    }

    /// `try_reserve` reserves `bytes`, or returns `None` if the account does not suffice now.
    pub fn try_reserve(&self, bytes: usize) -> Option<Reservation> {
        if self.has_ended() || !self.account.0.try_add(bytes) {
            return None;
        }
        self.state.bytes.fetch_add(bytes, Ordering::Relaxed);
        self.state.waits_for_memory.store(false, Ordering::Relaxed);
        let (account, state) = (self.account.clone(), Arc::clone(&self.state));
        Some(Reservation::new(account, state, bytes))
    }

    /// `poll_reserve` waits until `bytes` are reserved; `None` if they can never be, or if the account
    /// has ended the holder.
    pub fn poll_reserve(&self, cx: &mut Context<'_>, bytes: usize) -> Poll<Option<Reservation>> {
        if let Some(reservation) = self.try_reserve(bytes) {
            return Poll::Ready(Some(reservation));
        }
        if self.has_ended() || !self.account.0.can_ever_hold(bytes) {
            self.account.0.count_refusal();
            return Poll::Ready(None);
        }
        self.start_waiting();
        self.state.waits_for_memory.store(true, Ordering::Relaxed);
        self.account.0.wait(cx.waker());
        // Memory that was freed meanwhile has woken only those that waited before.
        self.try_reserve(bytes)
            .map_or(Poll::Pending, |reservation| Poll::Ready(Some(reservation)))
    }

    /// `reserve_within` reserves `bytes`, and waits at most `limit` for them.
    pub async fn reserve_within(&self, bytes: usize, limit: Duration) -> Option<Reservation> {
        if let Some(reservation) = self.try_reserve(bytes) {
            return Some(reservation);
        }
        let waited_for_client = self.state.progress_until_ms.load(Ordering::Relaxed) > 0;
        let reserve = future::poll_fn(|cx| self.poll_reserve(cx, bytes));
        let reserved = time::timeout(limit, reserve).await;
        // The time of the wait does not count as silence of the client.
        self.state.progress_until_ms.store(0, Ordering::Relaxed);
        if waited_for_client {
            self.start_waiting();
        }
        self.state.waits_for_memory.store(false, Ordering::Relaxed);
        if reserved.is_err() {
            self.account.0.count_refusal();
        }
        reserved.ok().flatten()
    }
}
