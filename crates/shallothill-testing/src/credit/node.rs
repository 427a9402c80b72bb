//! A simulated node.

use shallothill_core::config::Quota;
use shallothill_core::time::Millis;
use shallothill_policy::quota::{Holder, HolderOptions, Take};

/// `Waiter` is a request that waits for a token.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiter {
    pub(super) id: u64,
    pub(super) caller: u64,
    pub(super) arrived: Millis,
}

/// `SimNode` is a node with its tokens and the requests that wait for some.
#[derive(Debug)]
pub(super) struct SimNode {
    pub(super) holder: Holder,
    /// The keeper that is asked.
    pub(super) keeper: usize,
    /// The number of the request in flight.
    pub(super) in_flight: Option<u64>,
    pub(super) waiting: Vec<Waiter>,
    /// Until when nothing reaches the node or leaves it.
    pub(super) cut_until: Millis,
}

/// `Ended` is the end of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Ended {
    Admitted,
    Denied,
}

impl SimNode {
    pub(super) fn new(keeper: usize, sender: u64) -> Self {
        Self {
            holder: Holder::new(HolderOptions::default(), sender),
            keeper,
            in_flight: None,
            waiting: Vec::new(),
            cut_until: Millis(0),
        }
    }

    /// `arrive` returns how a request ends, or `None` if it waits.
    pub(super) fn arrive(&mut self, now: Millis, quota: Quota, waiter: Waiter) -> Option<Ended> {
        self.holder.arrive(now, waiter.caller, quota);
        match self.holder.take(now, waiter.caller, quota) {
            Take::Token(_) => Some(Ended::Admitted),
            Take::Denied(_) => Some(Ended::Denied),
            Take::Ask => {
                self.holder.start_waiting(now, waiter.caller, quota);
                self.waiting.push(waiter);
                None
            }
        }
    }

    /// `serve_waiting` ends the waiting requests that have a token now or are denied.
    pub(super) fn serve_waiting(
        &mut self,
        now: Millis,
        quota_of: impl Fn(u64) -> Quota,
    ) -> Vec<(Waiter, Ended)> {
        let mut ended = Vec::new();
        let holder = &mut self.holder;
        self.waiting.retain(|waiter| {
            let end = match holder.take(now, waiter.caller, quota_of(waiter.caller)) {
                Take::Token(_) => Ended::Admitted,
                Take::Denied(_) => Ended::Denied,
                Take::Ask => return true,
            };
            holder.stop_waiting(waiter.caller);
            ended.push((*waiter, end));
            false
        });
        ended
    }

    /// `give_up` ends the wait of one request.
    pub(super) fn give_up(&mut self, id: u64) -> Option<Waiter> {
        let index = self.waiting.iter().position(|w| w.id == id)?;
        let waiter = self.waiting.remove(index);
        self.holder.stop_waiting(waiter.caller);
        Some(waiter)
    }
}
