//! Changes of the members, one at a time.

use std::time::Duration;

use shallothill_core::ids::KeeperId;
use shallothill_core::time::Millis;

use crate::action::ProposeResult;
use crate::entry::{Content, RequestId};
use crate::leading::Joining;
use crate::options;
use crate::replica::Replica;

/// `JOIN_LIMIT` is how long a new member may take to get the log; a snapshot of some megabytes over
/// a link between regions takes a few seconds.
const JOIN_LIMIT: Duration = Duration::from_secs(30);

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
        let joining = leading.joining.is_some();
        if joining || since > self.commit || self.commit < leading.first {
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
        match added.first() {
            Some(member) => self.start_joining(id, *member, members),
            None if self.hears_majority_of(&members) => {
                self.propose(id, Content::Members { id, members });
            }
            None => self.reply(id, ProposeResult::Busy),
        }
    }

    // A new member that does not count yet must not raise the size of a majority: if another disk
    // were lost meanwhile, too few whole members would be left to recover from.
    fn start_joining(&mut self, id: RequestId, member: KeeperId, members: Vec<KeeperId>) {
        let (target, until) = (self.commit, self.now + JOIN_LIMIT);
        if let Some(leading) = self.leading.as_mut() {
            leading.joining = Some(Joining {
                id,
                member,
                members,
                target,
                until,
            });
        }
        self.update_peers();
        self.beat();
    }

    /// `admit_member` proposes the waiting change once the new member holds the log.
    pub(crate) fn admit_member(&mut self) {
        let Some(leading) = self.leading.as_mut() else {
            return;
        };
        let peers = &leading.peers;
        let holds = |j: &mut Joining| peers.get(&j.member).is_some_and(|p| p.matched >= j.target);
        if let Some(joining) = leading.joining.take_if(holds) {
            let (id, members) = (joining.id, joining.members);
            self.propose(id, Content::Members { id, members });
        }
    }

    /// `expire_joining` gives up a change whose new member does not catch up.
    pub(crate) fn expire_joining(&mut self) {
        let now = self.now;
        let joining = self.leading.as_mut().map(|l| &mut l.joining);
        let expired = joining.and_then(|j| j.take_if(|j| now > j.until));
        if let Some(joining) = expired {
            self.reply(joining.id, ProposeResult::Busy);
            self.update_peers();
        }
    }

    fn hears_majority_of(&self, members: &[KeeperId]) -> bool {
        let Some(leading) = self.leading.as_ref() else {
            return false;
        };
        let recent = |heard: Millis| self.now < heard + self.options.election_timeout;
        let heard = |k: &&KeeperId| {
            let peer = leading.peers.get(k).and_then(|p| p.heard);
            **k == self.options.me || peer.is_some_and(recent)
        };
        members.iter().filter(heard).count() > members.len() / 2
    }
}
