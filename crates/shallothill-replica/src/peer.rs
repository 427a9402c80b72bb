//! A primary's record of another replica.

use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::Millis;

use crate::entry::Op;

/// `Peer` tracks how far another replica's log matches the primary's.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    /// The next entry to send.
    pub(crate) next_op: Op,
    /// The replica holds the primary's log durably up to this position.
    pub(crate) matched_op: Op,
    /// The number of batches that were sent and not answered.
    pub(crate) in_flight: usize,
    /// Whether the primary still searches for the last position at which both logs match; it
    /// then sends one batch at a time.
    pub(crate) probing: bool,
    /// When the primary last sent a batch, or offered a snapshot in its place, and the position
    /// that the batch starts from.
    pub(crate) last_probe: (Millis, Op),
    /// The highest round that the replica answered.
    pub(crate) round: u64,
    /// The incarnation of the replica's disk that `matched_op` belongs to.
    pub(crate) incarnation: Incarnation,
}

impl Peer {
    pub(crate) fn new(next_op: Op, now: Millis) -> Self {
        Self {
            next_op,
            matched_op: Op(0),
            in_flight: 0,
            probing: true,
            last_probe: (now, Op(0)),
            round: 0,
            incarnation: Incarnation(0),
        }
    }

    /// `observe_incarnation` discards what an earlier incarnation of the replica's disk
    /// acknowledged, and returns whether an answer of `incarnation` is valid.
    pub(crate) fn observe_incarnation(&mut self, incarnation: Incarnation) -> bool {
        if incarnation > self.incarnation {
            self.incarnation = incarnation;
            self.matched_op = Op(0);
            self.round = 0;
            self.probing = true;
            self.in_flight = 0;
        }
        incarnation == self.incarnation
    }
}
