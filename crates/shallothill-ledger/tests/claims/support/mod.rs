//! A simulated ledger group with gates, and a network that loses, repeats and reorders messages.

mod network;
mod simulation;

pub use network::Message;
pub use simulation::{Fault, Simulation};

use shallothill_core::hash::ContentHash;
use shallothill_core::idempotency::IdempotencyKey;
use shallothill_core::ids::NodeName;
use shallothill_core::time::UnixMillis;
use shallothill_ledger::{Claim, ClaimId};

/// `KEY` is the idempotency key that every gate claims.
pub const KEY: &str = "019ae8a0-0000-7000-8000-000000000001";

/// `now` returns a time one second after the creation of `KEY`.
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
