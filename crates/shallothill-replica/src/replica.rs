//! The replica.

use shallothill_core::time::Millis;

use crate::action::Action;
use crate::durable::Durable;
use crate::errors;
use crate::errors::Result;
use crate::event::Event;
use crate::options;
use crate::options::ReplicaOptions;
use crate::status::ReplicaStatus;

/// `Replica` is one member of a replicated log.
#[derive(Debug)]
pub struct Replica {
    status: ReplicaStatus,
}

impl Replica {
    /// `try_new` builds a replica from what its disk holds.
    pub fn try_new(options: ReplicaOptions, durable: Durable, now: Millis) -> Result<Self> {
        let count = options.members.len();
        if count > options::MAX_MEMBERS {
            return errors::GroupSizeSnafu { count }.fail();
        }
        let _ = (durable, now);
        errors::NotAMemberSnafu { me: options.me }.fail()
    }

    /// `step` handles an event and returns what to do, in order.
    pub fn step(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let _ = (now, event);
        Vec::new()
    }

    /// `status` returns the main figures.
    pub fn status(&self) -> ReplicaStatus {
        self.status.clone()
    }
}
