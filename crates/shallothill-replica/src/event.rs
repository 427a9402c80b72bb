//! The events that a driver reports to a replica.

use shallothill_core::ids::KeeperId;

use crate::entry::{Request, RequestId};
use crate::message::Message;
use crate::snapshot::Snapshot;

/// `SyncToken` numbers the `Sync` actions of a replica since the start of the process.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct SyncToken(pub u64);

/// `ReadToken` identifies a read; the driver chooses one per read.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct ReadToken(pub u64);

/// `Event` is an input to [`crate::Replica::step`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// Time passed; the driver reports it at least every 20 ms.
    Tick,
    /// A message arrived.
    Message {
        /// The replica that sent it.
        from: KeeperId,
        /// The message.
        msg: Message,
    },
    /// A client proposes an entry; one `Reply` answers it.
    Propose {
        /// The command to append to the log.
        request: Request,
    },
    /// An operator requests a change of members; each change adds or removes one. One `Reply`
    /// answers it. A new member is added only after it holds the log, so it must already run.
    ChangeMembers {
        /// The id of the request.
        id: RequestId,
        /// All members after the change.
        members: Vec<KeeperId>,
    },
    /// Everything up to a `Sync` action is durable; a token covers all earlier ones.
    Synced {
        /// The token of the last completed `Sync`.
        upto: SyncToken,
    },
    /// The snapshot that `TakeSnapshot` requested is durable in the driver's log.
    SnapshotTaken {
        /// The snapshot as stored.
        snapshot: Snapshot,
    },
    /// A client wants to read the applied state; `ReadReady` or `ReadRefused` answers it.
    Read {
        /// The token that the answer repeats.
        token: ReadToken,
    },
}
