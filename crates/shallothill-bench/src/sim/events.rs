//! Priority queue of simulated events, with the virtual clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::sim::Micros;

struct ScheduledEvent<E> {
    at: Micros,
    sequence: u64,
    event: E,
}

impl<E> PartialEq for ScheduledEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl<E> Eq for ScheduledEvent<E> {}

impl<E> PartialOrd for ScheduledEvent<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for ScheduledEvent<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// `EventQueue` yields events by time; events at the same time come in insertion order.
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<ScheduledEvent<E>>>,
    sequence: u64,
    now: Micros,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            sequence: 0,
            now: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// `schedule_after` schedules `event` to occur `delay` after the current virtual time.
    pub fn schedule_after(&mut self, delay: Micros, event: E) {
        self.sequence += 1;
        self.heap.push(Reverse(ScheduledEvent {
            at: self.now + delay,
            sequence: self.sequence,
            event,
        }));
    }

    /// `next_before` removes the earliest event and advances the clock to it, or returns `None`
    /// when no event is left before `end`.
    pub fn next_before(&mut self, end: Micros) -> Option<E> {
        if self.heap.peek()?.0.at >= end {
            return None;
        }
        let Reverse(scheduled) = self.heap.pop()?;
        self.now = scheduled.at;
        Some(scheduled.event)
    }

    /// `now` returns the current virtual time, counted from the start of the run.
    pub fn now(&self) -> Micros {
        self.now
    }
}
