//! A simulated keeper.

use shallothill_core::time::Millis;
use shallothill_policy::quota::{Issuer, Relay, RelayReply};

/// `Pending` is the request of a node that waits for the issuer.
#[derive(Debug)]
pub(super) struct Pending {
    pub(super) id: u64,
    pub(super) node: usize,
    pub(super) answer: RelayReply,
    /// What was missing when the wait began.
    pub(super) missing: Vec<(u64, u32)>,
}

/// `SimKeeper` is a keeper, which issues if it is the primary.
#[derive(Debug)]
pub(super) struct SimKeeper {
    pub(super) relay: Relay,
    pub(super) issuer: Option<Issuer>,
    pub(super) pending: Vec<Pending>,
    pub(super) in_flight: Option<u64>,
    /// Until when the keeper does not run.
    pub(super) down_until: Millis,
}

impl SimKeeper {
    pub(super) fn new(id: u64) -> Self {
        Self {
            relay: Relay::new(id),
            issuer: None,
            pending: Vec::new(),
            in_flight: None,
            down_until: Millis(0),
        }
    }
}
