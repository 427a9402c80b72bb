//! Changes of the members, one at a time.

use std::time::Duration;

use shallothill_core::ids::KeeperId;

use crate::action::ProposeResult;
use crate::entry::{Content, Op, RequestId};
use crate::leading::Change;
use crate::options;
use crate::replica::Replica;

/// `CHANGE_LIMIT` is how long a new member may take to get the log; a snapshot of some megabytes over
/// a link between regions takes a few seconds.
const CHANGE_LIMIT: Duration = Duration::from_secs(30);

/// `SILENT_ELECTIONS` is how many election timeouts a new member may be silent.
const SILENT_ELECTIONS: u32 = 4;

impl Replica {
    pub(crate) fn on_change_members(&mut self, id: RequestId, mut members: Vec<KeeperId>) {
        members.sort_unstable();
        members.dedup();
        let Some(leading) = self.leading.as_ref() else {
            let primary = self.primary;
            self.reply(id, ProposeResult::NotPrimary { primary });
            return;
        };
        // Two changes that overlap, or one that a new primary starts before it committed anything,
        // could each find a majority that does not meet the other's.
        let since = self.log.members_since();
        let waits = leading.change.is_some();
        if waits || since > self.commit || self.commit < leading.first {
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
        if added.len() + removed != 1 || size == 0 || size > options::MAX_MEMBERS {
            self.reply(id, ProposeResult::Refused);
            return;
        }
        self.start_change(id, added.first().copied(), members);
    }

    // A new member that does not count yet, or a change that leaves out one of few whole members,
    // must not take effect while other disks are lost: too few whole members would be left to
    // recover from. So a majority of the new members has to answer after the request came in.
    fn start_change(&mut self, id: RequestId, added: Option<KeeperId>, members: Vec<KeeperId>) {
        let (target, until) = (self.commit, self.now + CHANGE_LIMIT);
        if let Some(leading) = self.leading.as_mut() {
            leading.change = Some(Change {
                id,
                added,
                members,
                target,
                round: leading.round + 1,
                heard: self.now,
                until,
            });
        }
        self.update_peers();
        self.beat();
        self.continue_change();
    }

    /// `continue_change` proposes the waiting change once enough of the new members answered.
    pub(crate) fn continue_change(&mut self) {
        let me = self.options.me;
        let Some(leading) = self.leading.as_ref() else {
            return;
        };
        let Some(change) = leading.change.as_ref() else {
            return;
        };
        let matched = |k| leading.peers.get(&k).map_or(Op(0), |p| p.matched);
        let holds = change.added.is_none_or(|k| matched(k) >= change.target);
        if !holds || leading.majority_round(me, &change.members) < change.round {
            return;
        }
        let (id, members) = (change.id, change.members.clone());
        if let Some(leading) = self.leading.as_mut() {
            leading.change = None;
        }
        self.propose(id, Content::Members { id, members });
    }

    /// `expire_change` gives up a change that too few of the new members answer, and one whose new
    /// member is silent, so that it holds up no other one.
    pub(crate) fn expire_change(&mut self) {
        let now = self.now;
        let patience = self.options.election_timeout * SILENT_ELECTIONS;
        let silent = |c: &Change| c.added.is_some() && now > c.heard + patience;
        let change = self.leading.as_mut().map(|l| &mut l.change);
        let expired = change.and_then(|c| c.take_if(|c| now > c.until || silent(c)));
        if let Some(change) = expired {
            self.reply(change.id, ProposeResult::Busy);
            self.update_peers();
        }
    }
}
