//! What happens to a replica.

use shallothill_core::ids::KeeperId;

use crate::entry::{Request, RequestId};
use crate::message::Message;
use crate::snapshot::Snapshot;

/// `SyncToken` numbers the syncs that a replica asked for since it was built.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct SyncToken(pub u64);

/// `ReadToken` identifies a read; the driver chooses it.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct ReadToken(pub u64);

/// `Event` is what a driver reports to a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// Time passed; report it at least every 20 ms.
    Tick,
    /// A message arrived.
    Message {
        /// The replica that sent it.
        from: KeeperId,
        /// The message.
        msg: Message,
    },
    /// A client asks for an entry; answered by one `Reply`.
    Propose {
        /// What to put into the log.
        request: Request,
    },
    /// An operator asks for other members; one may be added or removed at a time. Answered by one
    /// `Reply`. A new member is added only after it holds the log, so it has to run already.
    ChangeMembers {
        /// The id of the request.
        id: RequestId,
        /// All members after the change.
        members: Vec<KeeperId>,
    },
    /// Everything up to this `Sync` action is durable; later tokens include earlier ones.
    Synced {
        /// The token of the last completed `Sync`.
        upto: SyncToken,
    },
    /// The snapshot that `TakeSnapshot` asked for is durable in the driver's log.
    SnapshotTaken {
        /// The snapshot.
        snapshot: Snapshot,
    },
    /// A client asks to read the applied state; answered by `ReadReady` or `ReadRefused`.
    Read {
        /// The driver's name of the read.
        token: ReadToken,
    },
}
