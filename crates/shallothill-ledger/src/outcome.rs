//! What a gate may do with a claimed request.

use crate::completion::Completion;
use crate::messages::ClaimRefusal;

/// `ClaimOutcome` is the result of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// A majority supports the claim: dispatch the request, once.
    Granted,
    /// The request has run before; give the stored answer.
    Completed(Completion),
    /// Another claim may be running the request.
    InProgress,
    /// Another claim may have run the request, and its answer is no longer expected.
    MayHaveRun,
    /// The key was used for another request.
    DifferentRequest,
    /// Members refuse the key.
    Refused(ClaimRefusal),
    /// Too few members answered.
    Unavailable,
}
