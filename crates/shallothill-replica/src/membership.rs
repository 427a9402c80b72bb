//! Changes of the members, one at a time.

use std::time::Duration;

use shallothill_core::ids::KeeperId;

use crate::action::ProposeResult;
use crate::entry::{Content, Op, RequestId};
use crate::options;
use crate::primary_state::PendingChange;
use crate::replica::Replica;

/// `MEMBERSHIP_CHANGE_TIMEOUT` bounds how long a new member may take to receive the log; a snapshot
/// of some megabytes takes a few seconds over a link between regions.
const MEMBERSHIP_CHANGE_TIMEOUT: Duration = Duration::from_secs(30);

/// `MAX_SILENT_ELECTION_TIMEOUTS` is the number of election timeouts after which a change fails if
/// its new member does not answer.
const MAX_SILENT_ELECTION_TIMEOUTS: u32 = 4;

impl Replica {
    pub(crate) fn on_change_members(&mut self, id: RequestId, mut members: Vec<KeeperId>) {
        members.sort_unstable();
        members.dedup();
        let Some(primary_state) = self.primary_state.as_ref() else {
            let primary = self.primary;
            self.reply(id, ProposeResult::NotPrimary { primary });
            return;
        };
        // Two overlapping changes could each be committed by a majority that shares no member with
        // the other's. So could a change that a new primary starts before it committed an entry.
        let since = self.log.members_since();
        let pending = primary_state.change.is_some();
        if pending || since > self.commit || self.commit < primary_state.first_op {
            self.reply(id, ProposeResult::Busy);
            return;
        }
        let current = self.log.members();
        if current == members {
            self.reply(id, ProposeResult::Committed(since));
            return;
        }
        let added: Vec<KeeperId> = members
            .iter()
            .copied()
            .filter(|k| !current.contains(k))
            .collect();
        let removed = current.iter().filter(|k| !members.contains(k)).count();
        let size = members.len();
        if added.len() + removed != 1 || size == 0 || size > options::MAX_GROWN_MEMBERS {
            self.reply(id, ProposeResult::Refused);
            return;
        }
        self.start_change(id, added.first().copied(), members);
    }

    // A change must not take effect while other disks are lost, if it adds a member that does not
    // vote yet or removes one of the few complete members: too few complete members would be left
    // to recover from. So a majority of the new members has to answer after the request arrived.
    fn start_change(&mut self, id: RequestId, added: Option<KeeperId>, members: Vec<KeeperId>) {
        let (target_op, deadline) = (self.commit, self.now + MEMBERSHIP_CHANGE_TIMEOUT);
        if let Some(primary_state) = self.primary_state.as_mut() {
            primary_state.change = Some(PendingChange {
                id,
                added,
                members,
                target_op,
                round: primary_state.round + 1,
                last_answer: self.now,
                deadline,
            });
        }
        self.update_peers();
        self.send_heartbeats();
        self.continue_change();
    }

    /// `continue_change` proposes the pending change once enough of the new members answered.
    pub(crate) fn continue_change(&mut self) {
        let me = self.options.me;
        let Some(primary_state) = self.primary_state.as_ref() else {
            return;
        };
        let Some(change) = primary_state.change.as_ref() else {
            return;
        };
        let matched = |k| primary_state.peers.get(&k).map_or(Op(0), |p| p.matched_op);
        let caught_up = change.added.is_none_or(|k| matched(k) >= change.target_op);
        if !caught_up || primary_state.majority_round(me, &change.members) < change.round {
            return;
        }
        let (id, members) = (change.id, change.members.clone());
        if let Some(primary_state) = self.primary_state.as_mut() {
            primary_state.change = None;
        }
        self.propose(id, Content::Members { id, members });
    }

    /// `expire_change` aborts a change that too few of the new members answer, and one whose new
    /// member is silent, so that it does not block other changes.
    pub(crate) fn expire_change(&mut self) {
        let now = self.now;
        let silence_limit = self.options.election_timeout * MAX_SILENT_ELECTION_TIMEOUTS;
        let silent = |c: &PendingChange| c.added.is_some() && now > c.last_answer + silence_limit;
        let change = self.primary_state.as_mut().map(|s| &mut s.change);
        let expired = change.and_then(|c| c.take_if(|c| now > c.deadline || silent(c)));
        if let Some(change) = expired {
            self.reply(change.id, ProposeResult::Busy);
            self.update_peers();
        }
    }
}
