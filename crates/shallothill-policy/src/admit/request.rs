//! Requests to a gate and its decisions on them.

use std::time::Duration;

use shallothill_core::class::Class;
use shallothill_core::time::Millis;

/// `Ticket` identifies one request at one gate; numbers are never reused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// `RequestKind` groups requests with similar latency, in practice those of one route.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestKind(pub u64);

/// `CallerKey` identifies a caller by a hash of its name.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallerKey(pub u64);

/// `SlotOutcome` tells the gate how a request that held a slot ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotOutcome {
    /// The backend server answered successfully after this time.
    Served(Duration),
    /// The caller stopped waiting after this time, while the backend server was still working.
    Abandoned(Duration),
    /// The request failed or was never sent.
    Failed,
}

/// `GateRequest` describes a request that arrives at a gate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GateRequest {
    /// Selects the latency estimate for the request.
    pub kind: RequestKind,
    /// The class, which selects the queue and decides who is shed first.
    pub class: Class,
    /// When the caller stops waiting.
    pub deadline: Millis,
    /// When the node that took the request from the caller stops, if it is stopping; a later
    /// response reaches nobody.
    pub reply_by: Option<Millis>,
    /// When the latency objective of the route ends, if that is before the deadline.
    pub objective: Option<Millis>,
    /// The priority within the class; 0 is the highest.
    pub rank: u8,
    /// The time that backend servers have worked for the request that this one is a call of; `None`
    /// for a new request.
    pub spent: Option<Duration>,
    /// The caller that a key identified.
    pub caller: Option<CallerKey>,
    /// Whether the request may test an ejected endpoint: its sender marked it as a trial and it is
    /// idempotent.
    pub trial: bool,
}

/// `Refusal` is the reason why a request was refused; a refused request has not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The endpoint is shutting down.
    Draining,
    /// The endpoint is ejected, and the request is not a trial or no trial slot is free.
    Ejected,
    /// All slots and all queue places are taken.
    QueueFull,
    /// The request can't be answered before its deadline.
    Deadline,
    /// The request can't be answered before the node that took it, or that of the gate, stops.
    Stopping,
    /// A request of a higher class or greater urgency displaced it from the queue.
    Shed,
    /// More urgent requests wait, and the request would miss its objective behind them.
    Overload,
}

impl Refusal {
    /// `as_str` returns the value of the reason header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Draining => "draining",
            Self::Ejected => "ejected",
            Self::QueueFull => "queue-full",
            Self::Deadline => "deadline",
            Self::Stopping => "stopping",
            Self::Shed => "shed",
            Self::Overload => "overload",
        }
    }
}

/// `Admission` is the decision on an arriving request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request holds a slot and may run.
    Run(Ticket),
    /// The request waits; a later [`QueueDecision`] from [`crate::admit::Gate::poll`] decides on
    /// it.
    Queued(Ticket),
    /// The request is refused and has not run.
    Refused {
        /// Why the request was refused.
        reason: Refusal,
        /// How long to wait before sending the request again.
        retry_after: Duration,
    },
}

/// `QueueDecision` is the decision on a request that waited in the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueDecision {
    /// The request now holds a slot and may run.
    Run(Ticket),
    /// The request is refused and has not run.
    Refused(Ticket, Refusal),
}
