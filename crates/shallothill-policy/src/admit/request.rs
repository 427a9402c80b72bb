//! What a gate is asked and what it answers.

use std::time::Duration;

use shallothill_core::class::Class;
use shallothill_core::time::Millis;

/// `Ticket` identifies one request at one gate; numbers are never used again.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// `Kind` identifies the requests that take a similar time, those of one route.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestKind(pub u64);

/// `End` is how a request that held a slot ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotOutcome {
    /// It was answered with success after this time.
    Served(Duration),
    /// Nobody waited any longer after this time, while the backend server was still at work.
    Abandoned(Duration),
    /// It failed, or was not sent.
    Failed,
}

/// `GateRequest` describes a request that arrives at the gate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GateRequest {
    /// Which requests take a similar time.
    pub kind: RequestKind,
    /// The class, which decides who is shed first.
    pub class: Class,
    /// When the caller stops waiting.
    pub deadline: Millis,
    /// Until when an answer is of full use to the caller, if that is before the deadline.
    pub objective: Option<Millis>,
    /// The rank within the class; 0 goes first.
    pub rank: u8,
    /// Whether the request may serve as a trial: marked as one and idempotent.
    pub trial: bool,
}

/// `Refusal` tells why a request was refused; none of them ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The endpoint is leaving.
    Draining,
    /// The endpoint is ejected and the request is no trial, or no trial is due.
    Ejected,
    /// All slots are busy and the queue is full.
    QueueFull,
    /// The deadline cannot be met.
    Deadline,
    /// A request of a higher class, or a more urgent one, took the place in the queue.
    Shed,
}

impl Refusal {
    /// `as_str` returns the reason used in headers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Draining => "draining",
            Self::Ejected => "ejected",
            Self::QueueFull => "queue-full",
            Self::Deadline => "deadline",
            Self::Shed => "shed",
        }
    }
}

/// `Admission` is the answer to an arriving request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request holds a slot and may run.
    Run(Ticket),
    /// The request waits; [`Start`] tells later what becomes of it.
    Queued(Ticket),
    /// The request is refused as not run; resend after `retry_after`.
    Refused {
        /// Why.
        reason: Refusal,
        /// When a resend may succeed.
        retry_after: Duration,
    },
}

/// `Start` tells what becomes of a request that waited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueDecision {
    /// The request now holds a slot and may run.
    Run(Ticket),
    /// The request is refused as not run.
    Refused(Ticket, Refusal),
}
