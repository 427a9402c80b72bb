//! Claims on idempotency keys, granted by a quorum of keepers at most once.
//!
//! Each key is an independent register that the keepers of its home region hold. A gate sends its
//! claim to all of them at once and runs the request only when a majority holds that claim. There
//! is no primary: claims on different keys need no common order.

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
