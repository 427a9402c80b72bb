//! Claims on idempotency keys, granted by a quorum of keepers at most once.
//!
//! Each key is an independent register, replicated to the keepers of its home region. A gate sends
//! its claim to all of them at once and dispatches the request only when a majority has accepted
//! the claim. There is no primary: claims on different keys need no common order.

mod claim;
mod claimant;
mod completion;
mod entry;
mod errors;
mod member;
mod messages;
mod options;
mod outcome;
mod record;
mod recovery;

pub use claim::{Claim, ClaimId};
pub use claimant::Claimant;
pub use completion::Completion;
pub use entry::{ClaimState, LedgerEntry};
pub use errors::{Error, Result};
pub use member::{LedgerMember, MemberStatus};
pub use messages::{
    ClaimAnswer, ClaimRefusal, ClaimReply, ClaimRequest, CompleteRequest, RecoveryReply,
    RecoveryRequest, WithdrawRequest,
};
pub use options::LedgerOptions;
pub use outcome::ClaimOutcome;
pub use record::LedgerRecord;
pub use recovery::Recovery;
