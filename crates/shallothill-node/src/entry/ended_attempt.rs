//! Attempts that were started or have ended.

use std::net::SocketAddr;
use std::sync::Arc;

use shallothill_core::outcome::Outcome;
use shallothill_policy::pick;
use shallothill_policy::pick::{EndpointStats, PathStats};

use crate::attempt::{Attempt, AttemptReply};
use crate::crashes::QuarantinePermit;

/// `StartedAttempt` is an attempt that is about to be sent, with the state of its endpoint.
pub(super) struct StartedAttempt {
    pub(super) attempt: Attempt,
    pub(super) address: SocketAddr,
    pub(super) path: Arc<PathStats>,
    pub(super) stats: Arc<EndpointStats>,
    pub(super) in_flight: pick::InFlight,
    pub(super) quarantine_permit: QuarantinePermit,
}

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
