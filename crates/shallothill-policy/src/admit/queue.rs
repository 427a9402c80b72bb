//! The requests that wait at a gate.

use std::collections::VecDeque;

use shallothill_core::time::Millis;

use crate::admit::request::Ticket;

#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    pub(crate) ticket: Ticket,
    pub(crate) deadline: Millis,
}

/// `Queue` holds waiting requests, those of callers and internal ones apart.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    callers: VecDeque<Waiting>,
    internal: VecDeque<Waiting>,
    starts: u32,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.callers.len() + self.internal.len()
    }

    pub(crate) fn callers_len(&self) -> usize {
        self.callers.len()
    }

    /// Takes out a request whose deadline has passed, if one stands at a front.
    pub(crate) fn pop_expired(&mut self, now: Millis) -> Option<Waiting> {
        for queue in [&mut self.callers, &mut self.internal] {
            if queue.front().is_some_and(|w| w.deadline <= now) {
                return queue.pop_front();
            }
        }
        None
    }

    pub(crate) fn push(&mut self, internal: bool, waiting: Waiting) {
        if internal {
            self.internal.push_back(waiting);
        } else {
            self.callers.push_back(waiting);
        }
    }

    /// Takes the youngest internal request out, which has waited least.
    pub(crate) fn shed_internal(&mut self) -> Option<Ticket> {
        self.internal.pop_back().map(|w| w.ticket)
    }

    /// Takes the next request to start: callers first, but an internal one every
    /// `internal_every` starts at which both wait.
    pub(crate) fn next(&mut self, internal_every: u32) -> Option<Waiting> {
        if self.callers.is_empty() || self.internal.is_empty() {
            return self
                .callers
                .pop_front()
                .or_else(|| self.internal.pop_front());
        }
        self.starts += 1;
        if self.starts >= internal_every {
            self.starts = 0;
            return self.internal.pop_front();
        }
        self.callers.pop_front()
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
        self.callers
            .pop_front()
            .or_else(|| self.internal.pop_front())
    }
}
