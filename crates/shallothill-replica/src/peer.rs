//! What a primary knows of another replica.

use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::Millis;

use crate::entry::Op;

/// `Peer` tracks how far another replica's log equals the primary's.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    /// The next entry to send.
    pub(crate) next: Op,
    /// The replica holds the primary's log durably up to here.
    pub(crate) matched: Op,
    /// Batches sent and not answered.
    pub(crate) in_flight: usize,
    /// Whether the place where the logs meet is still looked for; one batch at a time then.
    pub(crate) probing: bool,
    /// When the last batch was sent or the last snapshot offered, and from where on.
    pub(crate) probed: (Millis, Op),
    /// The highest round answered.
    pub(crate) round: u64,
    /// The life of the replica's disk that `matched` belongs to.
    pub(crate) incarnation: Incarnation,
}

impl Peer {
    pub(crate) fn new(next: Op, now: Millis) -> Self {
        Self {
            next,
            matched: Op(0),
            in_flight: 0,
            probing: true,
            probed: (now, Op(0)),
            round: 0,
            incarnation: Incarnation(0),
        }
    }

    /// `begin_life` forgets what an earlier life of the replica's disk acknowledged, and tells
    /// whether an answer of `incarnation` counts.
    pub(crate) fn begin_life(&mut self, incarnation: Incarnation) -> bool {
        if incarnation > self.incarnation {
            self.incarnation = incarnation;
            self.matched = Op(0);
            self.round = 0;
            self.probing = true;
            self.in_flight = 0;
        }
        incarnation == self.incarnation
    }
}
