//! Messages in flight between gates and members.

use shallothill_core::ids::KeeperId;
use shallothill_ledger::{
    ClaimReply, ClaimRequest, RecoveryReply, RecoveryRequest, WithdrawRequest,
};

/// `Message` is one message in flight.
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

/// `Network` holds the messages in flight, which arrive in any order.
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

    /// `take` removes the message at `i`, or copies it so that it arrives again.
    pub fn take(&mut self, i: usize, repeat: bool) -> Message {
        if repeat {
            self.in_flight[i].clone()
        } else {
            self.in_flight.swap_remove(i)
        }
    }

    /// `find` returns the position of the first message that `wanted` accepts.
    pub fn find(&self, wanted: impl Fn(&Message) -> bool) -> Option<usize> {
        self.in_flight.iter().position(wanted)
    }
}
