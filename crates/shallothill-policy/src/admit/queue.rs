//! The queue of requests that wait for a slot of a gate.

use std::time::Duration;

use shallothill_core::time::Millis;

use crate::admit::request::{CallerKey, Refusal, RequestKind, Ticket};
use crate::admit::urgency::{Urgency, UrgencyInput};

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
    /// The caller that a key identified.
    pub(crate) caller: Option<CallerKey>,
    /// The round of the callers' turns in which the request starts, see [`Queue::next_turn`].
    pub(crate) turn: u64,
    pub(crate) kind: RequestKind,
    /// How long the request is expected to run once it has started.
    pub(crate) expected_duration: Duration,
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
        let input = UrgencyInput {
            ticket: self.ticket,
            rank: self.rank,
            objective: self.objective,
            work: self.expected_duration,
            spent: self.spent,
            turn: self.turn,
        };
        Urgency::new(now, input)
    }
}

/// `Queue` holds the waiting requests of callers and the internal ones separately, each in order of
/// arrival.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    callers: Vec<WaitingRequest>,
    internal: Vec<WaitingRequest>,
    /// The latest round of the callers' turns of which a request has started.
    round: u64,
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

    /// Returns the round in which a request of `caller` that arrives now starts: the one after the last
    /// waiting request of the caller. A caller with many waiting requests thus has one start for each
    /// start of another caller. Requests without an identified caller start in the current round.
    pub(crate) fn next_turn(&self, caller: Option<CallerKey>) -> u64 {
        let own = self.callers.iter().filter(|w| w.caller == caller);
        let last = own.filter(|w| w.caller.is_some()).map(|w| w.turn).max();
        last.map_or(self.round, |turn| self.round.max(turn + 1))
    }

    /// Returns whether a new request of a more urgent rank than `rank` waits.
    pub(crate) fn has_more_urgent_than(&self, rank: u8) -> bool {
        let mut new = self.callers.iter().filter(|w| !w.is_call());
        new.any(|w| w.rank < rank)
    }

    /// Removes the internal request that arrived last.
    pub(crate) fn shed_internal(&mut self) -> Option<Ticket> {
        self.internal.pop().map(|w| w.ticket)
    }

    /// Adds a caller's request and removes the least urgent one that is less urgent than it: a call of
    /// a running request only if there is no such new request, since a displaced call waits at its
    /// entry node and is sent again. Returns `None`, and adds nothing, if there is none.
    pub(crate) fn push_displacing(
        &mut self,
        now: Millis,
        waiting: WaitingRequest,
    ) -> Option<Ticket> {
        self.push(false, waiting);
        let urgency = |w: &WaitingRequest| w.urgency(now);
        let (last, others) = self.callers.split_last()?;
        let less_urgent = others.iter().enumerate();
        let less_urgent = less_urgent.filter(|(_, w)| urgency(w) > urgency(last));
        let displaced = less_urgent.max_by_key(|(_, w)| (!w.is_call(), urgency(w)));
        let Some((i, _)) = displaced else {
            self.remove(waiting.ticket);
            return None;
        };
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
            return self.remove_internal(now);
        }
        if !self.internal.is_empty() {
            self.starts_since_internal += 1;
            if self.starts_since_internal >= starts_per_internal {
                self.starts_since_internal = 0;
                return self.remove_internal(now);
            }
        }
        self.starts_since_oldest += 1;
        if self.starts_since_oldest >= starts_per_oldest {
            self.starts_since_oldest = 0;
            return Some(self.start_caller(0));
        }
        let i = most_urgent(&self.callers, now)?;
        Some(self.start_caller(i))
    }

    fn start_caller(&mut self, i: usize) -> WaitingRequest {
        let started = self.callers.remove(i);
        self.round = self.round.max(started.turn);
        started
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

    fn remove_internal(&mut self, now: Millis) -> Option<WaitingRequest> {
        let i = most_urgent(&self.internal, now)?;
        Some(self.internal.remove(i))
    }
}

fn most_urgent(queue: &[WaitingRequest], now: Millis) -> Option<usize> {
    let all = queue.iter().enumerate();
    let (i, _) = all.min_by_key(|(_, w)| w.urgency(now))?;
    Some(i)
}

/// Returns the earlier of two times, of which any may be unset.
pub(crate) fn earliest(a: Option<Millis>, b: Option<Millis>) -> Option<Millis> {
    a.into_iter().chain(b).min()
}
