//! The queue of requests that wait for a slot of a gate.

use std::time::Duration;

use shallothill_core::time::Millis;

use crate::admit::request::{Refusal, RequestKind, Ticket};

#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) ticket: Ticket,
    pub(crate) deadline: Millis,
    /// When the node that took the request, or the node of the gate, stops, if one is stopping.
    pub(crate) reply_by: Option<Millis>,
    /// When the latency objective ends, if that is before the deadline.
    pub(crate) objective: Option<Millis>,
    pub(crate) rank: u8,
    /// The work already spent on the request that this one is a call of; `None` for a new request.
    pub(crate) spent: Option<Duration>,
    pub(crate) kind: RequestKind,
    /// How long the request is expected to run once it has started.
    pub(crate) expected_duration: Duration,
}

/// `Urgency` orders waiting requests: the smallest starts first, the largest is shed first.
///
/// A request that can still meet its objective precedes one that will miss it anyway, since running
/// the late one first makes both late. Then the rank decides. Within a rank, calls of running
/// requests precede new requests, since a call that is refused wastes the work already spent. Then
/// the order of arrival decides.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Urgency {
    late: bool,
    rank: u8,
    new: bool,
    ticket: Ticket,
}

impl WaitingRequest {
    /// Returns until when a response is of use.
    pub(crate) fn end(&self) -> Millis {
        self.reply_by.unwrap_or(self.deadline).min(self.deadline)
    }

    /// Returns the reason for refusing the request when it can't be answered until its end.
    pub(crate) fn late_reason(&self) -> Refusal {
        match self.reply_by {
            Some(at) if at < self.deadline => Refusal::Stopping,
            _ => Refusal::Deadline,
        }
    }

    /// Returns whether a backend server makes the request while it runs another one.
    pub(crate) fn is_call(&self) -> bool {
        self.spent.is_some()
    }

    pub(crate) fn urgency(&self, now: Millis) -> Urgency {
        // A late call still completes a request that would fail without it.
        let late = self
            .objective
            .is_some_and(|at| now + self.expected_duration > at);
        Urgency {
            late: late && !self.is_call(),
            rank: self.rank,
            new: !self.is_call(),
            ticket: self.ticket,
        }
    }
}

/// `Queue` holds the waiting requests of callers and the internal ones separately, each in order of
/// arrival.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    callers: Vec<WaitingRequest>,
    internal: Vec<WaitingRequest>,
    starts_since_internal: u32,
    starts_since_oldest: u32,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.callers.len() + self.internal.len()
    }

    /// Returns the ticket and the kind of each waiting request.
    pub(crate) fn kinds(&self) -> Vec<(Ticket, RequestKind)> {
        let all = self.callers.iter().chain(&self.internal);
        all.map(|w| (w.ticket, w.kind)).collect()
    }

    /// Counts the requests other than that of `ticket`.
    pub(crate) fn len_without(&self, ticket: Ticket) -> usize {
        let all = self.callers.iter().chain(&self.internal);
        all.filter(|w| w.ticket != ticket).count()
    }

    pub(crate) fn callers_len(&self) -> usize {
        self.callers.len()
    }

    /// Counts the callers' requests that are more urgent than `than`.
    pub(crate) fn callers_ahead_of(&self, now: Millis, than: Urgency) -> usize {
        let before = self.callers.iter().filter(|w| w.urgency(now) < than);
        before.count()
    }

    /// Removes a request that can no longer be answered before its end. `estimate` returns how long
    /// a kind of request is expected to run by now. It counts for requests whose node stops, since
    /// another node can still take them.
    pub(crate) fn pop_expired(
        &mut self,
        now: Millis,
        estimate: impl Fn(RequestKind) -> Duration,
    ) -> Option<WaitingRequest> {
        let expired = |w: &WaitingRequest| {
            let duration = match w.reply_by {
                Some(_) => estimate(w.kind),
                None => w.expected_duration,
            };
            w.end() <= now + duration
        };
        for queue in [&mut self.callers, &mut self.internal] {
            if let Some(i) = queue.iter().position(expired) {
                return Some(queue.remove(i));
            }
        }
        None
    }

    pub(crate) fn push(&mut self, internal: bool, waiting: WaitingRequest) {
        if internal {
            self.internal.push(waiting);
        } else {
            self.callers.push(waiting);
        }
    }

    /// Removes the internal request that arrived last.
    pub(crate) fn shed_internal(&mut self) -> Option<Ticket> {
        self.internal.pop().map(|w| w.ticket)
    }

    /// Removes the least urgent of the callers' requests if it is less urgent than `than`: a call of
    /// a running request only if there is no such new request, since a displaced call waits at its
    /// entry node and is sent again.
    pub(crate) fn shed_caller(&mut self, now: Millis, than: Urgency) -> Option<Ticket> {
        let urgency = |w: &WaitingRequest| w.urgency(now);
        let all = self.callers.iter().enumerate();
        let less_urgent = all.filter(|(_, w)| urgency(w) > than);
        let (i, _) = less_urgent.max_by_key(|(_, w)| (!w.is_call(), urgency(w)))?;
        Some(self.callers.remove(i).ticket)
    }

    /// Removes the next request to start. Callers' requests come first, but while both queues hold
    /// requests one in `starts_per_internal` starts goes to an internal request. One in
    /// `starts_per_oldest` starts of callers' requests goes to the one that has waited longest,
    /// whatever its urgency, so that no kind of request starves.
    pub(crate) fn pop_next(
        &mut self,
        now: Millis,
        starts_per_internal: u32,
        starts_per_oldest: u32,
    ) -> Option<WaitingRequest> {
        if self.callers.is_empty() {
            return remove_most_urgent(&mut self.internal, now);
        }
        if !self.internal.is_empty() {
            self.starts_since_internal += 1;
            if self.starts_since_internal >= starts_per_internal {
                self.starts_since_internal = 0;
                return remove_most_urgent(&mut self.internal, now);
            }
        }
        self.starts_since_oldest += 1;
        if self.starts_since_oldest >= starts_per_oldest {
            self.starts_since_oldest = 0;
            return Some(self.callers.remove(0));
        }
        remove_most_urgent(&mut self.callers, now)
    }

    /// Returns whether the request of `ticket` is an internal one, and the request itself.
    pub(crate) fn find_mut(&mut self, ticket: Ticket) -> Option<(bool, &mut WaitingRequest)> {
        let callers = self.callers.iter_mut().map(|w| (false, w));
        let internal = self.internal.iter_mut().map(|w| (true, w));
        callers.chain(internal).find(|(_, w)| w.ticket == ticket)
    }

    pub(crate) fn remove(&mut self, ticket: Ticket) -> bool {
        for queue in [&mut self.callers, &mut self.internal] {
            if let Some(i) = queue.iter().position(|w| w.ticket == ticket) {
                queue.remove(i);
                return true;
            }
        }
        false
    }

    pub(crate) fn pop_any(&mut self) -> Option<WaitingRequest> {
        self.callers.pop().or_else(|| self.internal.pop())
    }
}

fn remove_most_urgent(queue: &mut Vec<WaitingRequest>, now: Millis) -> Option<WaitingRequest> {
    let all = queue.iter().enumerate();
    let (i, _) = all.min_by_key(|(_, w)| w.urgency(now))?;
    Some(queue.remove(i))
}
