//! Actions of one step, and what waits for a sync.

use std::collections::VecDeque;

use shallothill_core::ids::KeeperId;

use crate::action::Action;
use crate::entry::{Op, View};
use crate::event::SyncToken;
use crate::message::Message;

/// `Deferred` is what may happen only after everything before it is durable.
#[derive(Clone, Debug)]
pub(crate) enum Deferred {
    /// Sends a message, unless the replica left the view that it belongs to.
    Send {
        to: KeeperId,
        view: Option<View>,
        msg: Message,
    },
    /// Counts the primary's own log up to `op`.
    OwnAppend { view: View, op: Op },
    /// Counts the candidate's own vote.
    OwnVote { view: View },
    /// Saves that a recovered replica is whole.
    ContentRecovered,
    /// Lets the replica vote and acknowledge.
    Whole,
}

/// `Outbox` collects the actions of a step and holds back what relies on a sync.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    actions: Vec<Action>,
    dirty: bool,
    issued: SyncToken,
    synced: SyncToken,
    waiting: VecDeque<(SyncToken, Deferred)>,
    eager: bool,
}

impl Outbox {
    /// `new` returns an empty outbox; an `eager` one does not wait for syncs.
    pub(crate) fn new(eager: bool) -> Self {
        Self {
            eager,
            ..Self::default()
        }
    }

    /// `push` adds an action that needs no sync.
    pub(crate) fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// `durable` adds an action that counts after the next sync.
    pub(crate) fn durable(&mut self, action: Action) {
        self.actions.push(action);
        self.dirty = true;
    }

    /// `after_sync` lets `deferred` happen once everything added so far is durable.
    pub(crate) fn after_sync(&mut self, deferred: Deferred) {
        let token = SyncToken(self.issued.0 + u64::from(self.dirty));
        self.waiting.push_back((token, deferred));
    }

    /// `synced` notes a completed sync.
    pub(crate) fn synced(&mut self, upto: SyncToken) {
        self.synced = self.synced.max(upto).min(self.issued);
    }

    /// `take_ready` returns the next deferred item whose sync is complete.
    pub(crate) fn take_ready(&mut self) -> Option<Deferred> {
        let (token, _) = self.waiting.front()?;
        if !self.eager && *token > self.synced {
            return None;
        }
        self.waiting.pop_front().map(|(_, d)| d)
    }

    /// `finish` ends the step.
    pub(crate) fn finish(&mut self) -> Vec<Action> {
        if self.dirty {
            self.issued.0 += 1;
            self.actions.push(Action::Sync(self.issued));
            self.dirty = false;
        }
        std::mem::take(&mut self.actions)
    }
}
