//! A group of ledger members, gates that claim, and a network that loses and repeats messages.

mod group;
mod network;

pub use group::{Fault, Group};
pub use network::Message;

use shallothill_core::hash::ContentHash;
use shallothill_core::idempotency::IdempotencyKey;
use shallothill_core::ids::NodeName;
use shallothill_core::time::UnixMillis;
use shallothill_ledger::{Claim, ClaimId};

/// `KEY` was created at [`CREATED`].
pub const KEY: &str = "019ae8a0-0000-7000-8000-000000000001";

/// `NOW` is a time shortly after the creation of `KEY`.
pub fn now() -> UnixMillis {
    UnixMillis(key().created().0 + 1000)
}

pub fn key() -> IdempotencyKey {
    IdempotencyKey::try_parse(KEY).unwrap()
}

pub fn claim(n: u64) -> Claim {
    Claim {
        id: ClaimId(0, n),
        body_hash: ContentHash::of(b"body"),
        gate: NodeName::try_new(&format!("gate-{n}")).unwrap(),
        expires: UnixMillis(now().0 + 10_000),
    }
}
