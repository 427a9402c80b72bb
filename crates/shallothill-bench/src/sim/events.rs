//! The queue of events.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::sim::Micros;

struct Item<E> {
    at: Micros,
    number: u64,
    event: E,
}

impl<E> PartialEq for Item<E> {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl<E> Eq for Item<E> {}

impl<E> PartialOrd for Item<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Item<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// `Events` orders events by time, and events of one time by their insertion.
pub struct Events<E> {
    heap: BinaryHeap<Reverse<Item<E>>>,
    number: u64,
    now: Micros,
}

impl<E> Default for Events<E> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            number: 0,
            now: 0,
        }
    }
}

impl<E> Events<E> {
    /// `after` schedules `event` in `delay`.
    pub fn after(&mut self, delay: Micros, event: E) {
        self.number += 1;
        self.heap.push(Reverse(Item {
            at: self.now + delay,
            number: self.number,
            event,
        }));
    }

    /// `next` moves time on to the next event before `end`.
    pub fn next(&mut self, end: Micros) -> Option<E> {
        if self.heap.peek()?.0.at >= end {
            return None;
        }
        let Reverse(item) = self.heap.pop()?;
        self.now = item.at;
        Some(item.event)
    }

    /// `now` returns the time.
    pub fn now(&self) -> Micros {
        self.now
    }
}
