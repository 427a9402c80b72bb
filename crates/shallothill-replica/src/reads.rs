//! Linearizable reads, confirmed by a lease or by a round of a majority.

use crate::action::Action;
use crate::event::ReadToken;
use crate::leading::PendingRead;
use crate::replica::Replica;

/// `MAX_READS` bounds the reads that wait for a round.
const MAX_READS: usize = 10_000;

impl Replica {
    pub(crate) fn on_read(&mut self, token: ReadToken) {
        let primary = self.primary;
        let lease = self.options.lease;
        let Some(leading) = self.leading.as_mut() else {
            self.out.push(Action::ReadRefused { token, primary });
            return;
        };
        if leading.reads.len() >= MAX_READS {
            self.out.push(Action::ReadRefused { token, primary });
            return;
        }
        let alone = self.log.members() == [self.options.me];
        let leased = alone || self.now < leading.heard + lease;
        // The commit of the view's first entry shows that a majority heard this primary since the
        // start of the view, which is the first value of `heard`.
        if leased && self.commit >= leading.first {
            self.out.push(Action::ReadReady { token });
            return;
        }
        // Only a round that starts after the read confirms it; reads that come before the round is
        // sent share it.
        let round = leading.round + 1;
        leading.reads.push_back(PendingRead { token, round });
        self.beat();
    }

    /// `count_rounds` notes the rounds that a majority answered.
    pub(crate) fn count_rounds(&mut self) {
        let me = self.options.me;
        let Some(leading) = self.leading.as_mut() else {
            return;
        };
        let round = leading.majority_round(me, self.log.members());
        leading.note_round(round);
        self.serve_reads();
    }

    /// `serve_reads` answers the reads that are confirmed.
    pub(crate) fn serve_reads(&mut self) {
        let me = self.options.me;
        let Some(leading) = self.leading.as_mut() else {
            return;
        };
        if self.commit < leading.first {
            return;
        }
        let round = leading.majority_round(me, self.log.members());
        while let Some(read) = leading.reads.front().copied() {
            if read.round > round {
                return;
            }
            leading.reads.pop_front();
            let token = read.token;
            self.out.push(Action::ReadReady { token });
        }
    }
}
