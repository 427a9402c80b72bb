//! The requests that wait at a gate.

use std::time::Duration;

use shallothill_core::time::Millis;

use crate::admit::request::{RequestKind, Ticket};

#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    pub(crate) ticket: Ticket,
    pub(crate) deadline: Millis,
    /// Until when an answer is of full use, if that is before the deadline.
    pub(crate) objective: Option<Millis>,
    pub(crate) rank: u8,
    pub(crate) kind: RequestKind,
    /// The time that the request is expected to take once it has started.
    pub(crate) takes: Duration,
}

/// `Urgency` orders waiting requests; the least one starts first, the greatest one is shed first.
///
/// A request that can still be answered within its objective goes before one that will be late
/// anyway, since running the late one first makes both late. Among them the rank decides, then the
/// arrival.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Urgency {
    late: bool,
    rank: u8,
    ticket: Ticket,
}

impl Waiting {
    pub(crate) fn urgency(&self, now: Millis) -> Urgency {
        Urgency {
            late: self.objective.is_some_and(|at| now + self.takes > at),
            rank: self.rank,
            ticket: self.ticket,
        }
    }
}

/// `Queue` holds waiting requests, those of callers and internal ones apart, each in the order of
/// their arrival.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    callers: Vec<Waiting>,
    internal: Vec<Waiting>,
    starts: u32,
    fair_starts: u32,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.callers.len() + self.internal.len()
    }

    pub(crate) fn callers_len(&self) -> usize {
        self.callers.len()
    }

    /// Counts the callers' requests that are more urgent than `than`.
    pub(crate) fn callers_before(&self, now: Millis, than: Urgency) -> usize {
        let before = self.callers.iter().filter(|w| w.urgency(now) < than);
        before.count()
    }

    /// Takes out a request that cannot be answered before its deadline any more.
    pub(crate) fn pop_hopeless(&mut self, now: Millis) -> Option<Waiting> {
        let expired = |w: &Waiting| w.deadline <= now + w.takes;
        for queue in [&mut self.callers, &mut self.internal] {
            if let Some(i) = queue.iter().position(expired) {
                return Some(queue.remove(i));
            }
        }
        None
    }

    pub(crate) fn push(&mut self, internal: bool, waiting: Waiting) {
        if internal {
            self.internal.push(waiting);
        } else {
            self.callers.push(waiting);
        }
    }

    /// Takes the youngest internal request out, which has waited least.
    pub(crate) fn shed_internal(&mut self) -> Option<Ticket> {
        self.internal.pop().map(|w| w.ticket)
    }

    /// Takes the least urgent caller's request out, if it is less urgent than `than`.
    pub(crate) fn shed_caller(&mut self, now: Millis, than: Urgency) -> Option<Ticket> {
        let urgency = |w: &Waiting| w.urgency(now);
        let all = self.callers.iter().enumerate();
        let (i, last) = all.max_by_key(|(_, w)| urgency(w))?;
        (urgency(last) > than).then(|| self.callers.remove(i).ticket)
    }

    /// Takes the next request to start: callers first, but an internal one every
    /// `internal_every` starts at which both wait. One in `fair_every` callers is the one that has
    /// waited longest, whatever its urgency, so that no kind of request is starved.
    pub(crate) fn next(
        &mut self,
        now: Millis,
        starts_per_internal: u32,
        starts_per_oldest: u32,
    ) -> Option<Waiting> {
        if self.callers.is_empty() {
            return take_first(&mut self.internal, now);
        }
        if !self.internal.is_empty() {
            self.starts += 1;
            if self.starts >= starts_per_internal {
                self.starts = 0;
                return take_first(&mut self.internal, now);
            }
        }
        self.fair_starts += 1;
        if self.fair_starts >= starts_per_oldest {
            self.fair_starts = 0;
            return Some(self.callers.remove(0));
        }
        take_first(&mut self.callers, now)
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

    pub(crate) fn pop_any(&mut self) -> Option<Waiting> {
        self.callers.pop().or_else(|| self.internal.pop())
    }
}

fn take_first(queue: &mut Vec<Waiting>, now: Millis) -> Option<Waiting> {
    let all = queue.iter().enumerate();
    let (i, _) = all.min_by_key(|(_, w)| w.urgency(now))?;
    Some(queue.remove(i))
}
