//! The simulated network between gates and members.

use shallothill_core::ids::KeeperId;
use shallothill_ledger::{
    ClaimReply, ClaimRequest, RecoveryReply, RecoveryRequest, WithdrawRequest,
};

/// `Message` is a request to the keeper `to`, or a reply to a gate or a recovering keeper.
#[derive(Clone, Debug)]
pub enum Message {
    Claim {
        to: KeeperId,
        gate: usize,
        req: ClaimRequest,
    },
    ClaimReply {
        gate: usize,
        reply: ClaimReply,
    },
    Withdraw {
        to: KeeperId,
        req: WithdrawRequest,
    },
    Recover {
        to: KeeperId,
        req: RecoveryRequest,
    },
    RecoveryReply {
        to: KeeperId,
        reply: RecoveryReply,
    },
}

/// `Network` holds the messages in flight, which the caller may deliver in any order.
#[derive(Debug, Default)]
pub struct Network {
    in_flight: Vec<Message>,
}

impl Network {
    pub fn send(&mut self, message: Message) {
        self.in_flight.push(message);
    }

    pub fn len(&self) -> usize {
        self.in_flight.len()
    }

    /// `take` returns the message at `i`; with `repeat`, a copy stays in flight and arrives again.
    pub fn take(&mut self, i: usize, repeat: bool) -> Message {
        if repeat {
            self.in_flight[i].clone()
        } else {
            self.in_flight.swap_remove(i)
        }
    }

    /// `find` returns the position of the first message that `matches` accepts.
    pub fn find(&self, matches: impl Fn(&Message) -> bool) -> Option<usize> {
        self.in_flight.iter().position(matches)
    }
}
