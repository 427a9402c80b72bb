//! Reserved bytes, which are freed when they are dropped.

use std::sync::Arc;

use bytes::Bytes;

use crate::memory::MemoryAccount;
use crate::memory::holder::HolderState;

/// `Reservation` holds a part of an account until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    account: MemoryAccount,
    state: Arc<HolderState>,
    bytes: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.state.subtract(self.bytes);
        self.account.0.subtract(self.bytes);
    }
}

impl Reservation {
    pub(super) fn new(account: MemoryAccount, state: Arc<HolderState>, bytes: usize) -> Self {
        Self {
            account,
            state,
            bytes,
        }
    }

    /// `bytes` returns the number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// `merge` adds the bytes of `other`, which has the same holder.
    pub fn merge(&mut self, mut other: Self) {
        debug_assert!(Arc::ptr_eq(&self.state, &other.state));
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// `shrink_to` frees what is reserved beyond `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let freed = self.bytes.saturating_sub(bytes);
        self.bytes -= freed;
        self.state.subtract(freed);
        self.account.0.subtract(freed);
    }

    /// `attach` keeps the reservation until the last copy of `bytes` is dropped, such as by the queue
    /// of a connection whose client does not read.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(Reserved {
            bytes,
            _reservation: self,
        })
    }
}

struct Reserved {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Reserved {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
