//! The actions of one step, and work that is deferred until a sync.

use std::collections::VecDeque;

use shallothill_core::ids::KeeperId;

use crate::action::Action;
use crate::entry::{Op, View};
use crate::event::SyncToken;
use crate::message::Message;

/// `Deferred` is work that may run only after every earlier durable action is synced.
#[derive(Clone, Debug)]
pub(crate) enum Deferred {
    /// Sends a message; with a `view`, only if the replica is still in that view.
    Send {
        to: KeeperId,
        view: Option<View>,
        msg: Message,
    },
    /// Counts the primary's own log as durable up to `op`.
    OwnAppend { view: View, op: Op },
    /// Counts the candidate's own vote.
    OwnVote { view: View },
    /// Saves the state [`crate::MemberState::Complete`], now that the recovered log is durable.
    RecoveryDurable,
    /// Lets the replica vote and acknowledge.
    StartVoting,
}

/// `Outbox` collects the actions of a step and holds back work that relies on a sync.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    actions: Vec<Action>,
    /// Whether a durable action was added since the last `Sync`.
    dirty: bool,
    last_issued: SyncToken,
    last_synced: SyncToken,
    deferred: VecDeque<(SyncToken, Deferred)>,
    /// Fault injection: runs deferred work without waiting for the sync.
    skip_sync_wait: bool,
}

impl Outbox {
    /// `new` returns an empty outbox; with `skip_sync_wait` it does not wait for syncs.
    pub(crate) fn new(skip_sync_wait: bool) -> Self {
        Self {
            skip_sync_wait,
            ..Self::default()
        }
    }

    /// `push` adds an action that needs no sync.
    pub(crate) fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// `push_durable` adds an action that takes effect with the next sync.
    pub(crate) fn push_durable(&mut self, action: Action) {
        self.actions.push(action);
        self.dirty = true;
    }

    /// `after_sync` defers work until everything added so far is durable.
    pub(crate) fn after_sync(&mut self, deferred: Deferred) {
        let token = SyncToken(self.last_issued.0 + u64::from(self.dirty));
        self.deferred.push_back((token, deferred));
    }

    /// `confirm_sync` records that the driver completed every sync up to `upto`.
    pub(crate) fn confirm_sync(&mut self, upto: SyncToken) {
        self.last_synced = self.last_synced.max(upto).min(self.last_issued);
    }

    /// `take_ready` removes the next deferred item whose sync is complete.
    pub(crate) fn take_ready(&mut self) -> Option<Deferred> {
        let (token, _) = self.deferred.front()?;
        if !self.skip_sync_wait && *token > self.last_synced {
            return None;
        }
        self.deferred.pop_front().map(|(_, d)| d)
    }

    /// `end_step` returns the actions of the step, with a `Sync` last if one is durable.
    pub(crate) fn end_step(&mut self) -> Vec<Action> {
        if self.dirty {
            self.last_issued.0 += 1;
            self.actions.push(Action::Sync(self.last_issued));
            self.dirty = false;
        }
        std::mem::take(&mut self.actions)
    }
}
