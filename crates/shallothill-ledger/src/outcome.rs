//! The outcome of a claim.

use crate::completion::Completion;
use crate::messages::ClaimRefusal;

/// `ClaimOutcome` tells a gate what it may do with a claimed request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// A majority accepted the claim: the gate may dispatch the request once.
    Granted,
    /// The request has ended before: the gate returns the stored answer, if one is kept.
    Completed(Completion),
    /// Another claim may be running the request.
    InProgress,
    /// Another claim may have run the request, and its answer is no longer expected.
    MayHaveRun,
    /// The key was used for a request with another method, path or body.
    DifferentRequest,
    /// Members refuse the key or the claim.
    Refused(ClaimRefusal),
    /// Too few members replied.
    Unavailable,
}
