//! The events of the simulated fleet.

use shallothill_core::time::Millis;
use shallothill_policy::quota::{CreditReply, CreditRequest};

/// `Event` is one step of the simulation. Indexes are those of nodes and keepers.
#[derive(Debug)]
pub(super) enum Event {
    /// A request of a caller arrives at a node.
    Arrival { node: usize, caller: u64 },
    /// A request has waited for a token as long as it may.
    WaitEnds { node: usize, id: u64 },
    /// A node may report to a keeper.
    NodePeriod { node: usize },
    /// A node gives up a request to a keeper.
    NodeTimeout { node: usize, number: u64 },
    /// A node asks again after a failure.
    NodeRetry { node: usize },
    /// A request of a node reaches a keeper.
    AtKeeper {
        keeper: usize,
        node: usize,
        req: CreditRequest,
    },
    /// A keeper gives up waiting for the issuer on behalf of a node.
    PendingEnds { keeper: usize, id: u64 },
    /// The reply of a keeper reaches a node.
    AtNode { node: usize, reply: CreditReply },
    /// A keeper may report to the issuer.
    KeeperPeriod { keeper: usize },
    /// A keeper gives up a request to the issuer.
    KeeperTimeout { keeper: usize, number: u64 },
    /// A request of a keeper reaches the issuer.
    AtIssuer {
        keeper: usize,
        to: usize,
        req: CreditRequest,
    },
    /// The reply of the issuer reaches a keeper.
    FromIssuer { keeper: usize, reply: CreditReply },
    /// A node loses its state.
    NodeRestarts { node: usize },
    /// A keeper loses its state and does not answer until the given time.
    KeeperStops { keeper: usize, until: Millis },
    /// A keeper becomes the issuer.
    Elected { keeper: usize },
    /// A caller gets another quota.
    QuotaChanges {
        caller: u64,
        thousandths: u32,
        burst: u32,
    },
}
