//! Which of two requests is served first when capacity is short.

use std::time::Duration;

use shallothill_core::time::Millis;

use crate::admit::request::Ticket;

/// `Urgency` is the one order by which a gate starts waiting requests, chooses the request that
/// loses its place, and refuses arriving ones: the smallest starts first, the largest is shed first.
///
/// A request that can still meet its objective precedes one that will miss it anyway, since running
/// the late one first makes both late. Then the rank decides. Within a rank, calls of running
/// requests precede new requests, since a call that is refused wastes the work already spent. Then
/// identified callers take turns, and the order of arrival decides.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Urgency {
    late: bool,
    rank: u8,
    new: bool,
    turn: u64,
    ticket: Ticket,
}

/// `UrgencyInput` holds what the urgency of a request depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UrgencyInput {
    pub(crate) ticket: Ticket,
    pub(crate) rank: u8,
    /// When the latency objective ends, if that is before the deadline.
    pub(crate) objective: Option<Millis>,
    /// How long the request is expected to run once it has started.
    pub(crate) work: Duration,
    /// The work already spent on the request that this one is a call of; `None` for a new request.
    pub(crate) spent: Option<Duration>,
    /// The round of the callers' turns in which the request starts.
    pub(crate) turn: u64,
}

impl Urgency {
    pub(crate) fn new(now: Millis, input: UrgencyInput) -> Self {
        let call = input.spent.is_some();
        // A late call still completes a request that would fail without it.
        let late = input.objective.is_some_and(|at| now + input.work > at) && !call;
        Self {
            late,
            rank: input.rank,
            new: !call,
            turn: if call { 0 } else { input.turn },
            ticket: input.ticket,
        }
    }
}
