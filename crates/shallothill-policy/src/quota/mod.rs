//! Quotas of callers over all nodes together, enforced by tokens that expire.
//!
//! The [`Issuer`] has a token bucket for each active caller and grants tokens to [`Relay`]s, which
//! pass them on to the [`Holder`]s of the nodes. A token stands for one request. See
//! docs/design/quotas.md for the bound.

mod holder;
mod issuer;
mod messages;
mod options;
mod pool;
mod receivers;
mod relay;
mod senders;

pub use holder::{Holder, Take};
pub use issuer::Issuer;
pub use messages::{CreditAsk, CreditGrant, CreditReply, CreditRequest};
pub use options::{CreditOptions, HolderOptions, TIME_TO_LIVE};
pub use pool::Token;
pub use relay::{Relay, RelayReply};
