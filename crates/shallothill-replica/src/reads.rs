//! Linearizable reads, confirmed by a lease or by a round that a majority answers.

use shallothill_core::time::Millis;

use crate::action::Action;
use crate::entry::View;
use crate::event::ReadToken;
use crate::primary_state::PendingRead;
use crate::replica::Replica;

/// `MAX_PENDING_READS` bounds the number of reads that wait for a round.
const MAX_PENDING_READS: usize = 10_000;

impl Replica {
    pub(crate) fn on_read(&mut self, token: ReadToken) {
        let primary = self.primary;
        let lease = self.options.lease;
        let Some(primary_state) = self.primary_state.as_mut() else {
            self.outbox.push(Action::ReadRefused { token, primary });
            return;
        };
        if primary_state.pending_reads.len() >= MAX_PENDING_READS {
            self.outbox.push(Action::ReadRefused { token, primary });
            return;
        }
        let alone = self.log.members() == [self.options.me];
        let leased = alone || self.now < primary_state.quorum_heard_at + lease;
        // The commit of the view's first entry shows that a majority received messages of this
        // primary since the start of the view, which is the initial value of `quorum_heard_at`.
        if leased && self.commit >= primary_state.first_op {
            self.outbox.push(Action::ReadReady { token });
            return;
        }
        // Only a round that starts after the read can confirm it; reads that arrive before the
        // round starts share it.
        let round = primary_state.round + 1;
        primary_state
            .pending_reads
            .push_back(PendingRead { token, round });
        self.send_heartbeats();
    }

    /// `read_lease` returns the view and the time up to which this replica is its only primary;
    /// `None` on other replicas and before the first entry of the view is committed. The time may be
    /// in the past.
    pub fn read_lease(&self) -> Option<(View, Millis)> {
        let primary_state = self.primary_state.as_ref()?;
        if self.commit < primary_state.first_op {
            return None;
        }
        let alone = self.log.members() == [self.options.me];
        let confirmed = match alone {
            true => self.now,
            false => primary_state.quorum_heard_at,
        };
        Some((self.hard_state.view, confirmed + self.options.lease))
    }

    /// `confirm_rounds` records the rounds that a majority answered and serves the reads that
    /// waited for them.
    pub(crate) fn confirm_rounds(&mut self) {
        let me = self.options.me;
        let Some(primary_state) = self.primary_state.as_mut() else {
            return;
        };
        let round = primary_state.majority_round(me, self.log.members());
        primary_state.confirm_round(round);
        self.serve_reads();
    }

    /// `serve_reads` answers the pending reads that a round confirmed.
    pub(crate) fn serve_reads(&mut self) {
        let me = self.options.me;
        let Some(primary_state) = self.primary_state.as_mut() else {
            return;
        };
        if self.commit < primary_state.first_op {
            return;
        }
        let round = primary_state.majority_round(me, self.log.members());
        while let Some(read) = primary_state.pending_reads.front().copied() {
            if read.round > round {
                return;
            }
            primary_state.pending_reads.pop_front();
            let token = read.token;
            self.outbox.push(Action::ReadReady { token });
        }
    }
}
