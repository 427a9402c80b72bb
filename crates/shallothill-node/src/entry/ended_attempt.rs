//! Attempts that have ended.

use shallothill_core::outcome::Outcome;
use shallothill_policy::pick;

use crate::attempt::AttemptReply;
use crate::crashes::QuarantinePermit;

/// `EndedAttempt` is the reply of an attempt with the guards that outlive it.
pub(super) struct EndedAttempt {
    pub(super) reply: AttemptReply,
    pub(super) in_flight: pick::InFlight,
    /// Set for a response that clears the crashes of the fingerprint once all of it has arrived.
    pub(super) quarantine_permit: Option<QuarantinePermit>,
}

/// `more_severe` returns the reply with the more severe outcome, and the later one of two equal ones.
pub(super) fn more_severe(a: Option<EndedAttempt>, b: EndedAttempt) -> EndedAttempt {
    let rank = |e: &EndedAttempt| match e.reply.outcome {
        Outcome::RefusedNotRun => 0,
        Outcome::RanAndFailed => 1,
        Outcome::Unknown => 2,
        Outcome::Answered => 3,
    };
    match a {
        Some(a) if rank(&a) > rank(&b) => a,
        _ => b,
    }
}
