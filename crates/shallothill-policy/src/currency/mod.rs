//! The lease on the currency of the configuration, without which a node runs no request that a key
//! identifies.

mod confirmation;
mod lease;

pub use confirmation::Confirmation;
pub use lease::{CurrencyLease, LeaseState};
