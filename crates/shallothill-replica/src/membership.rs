//! Changes of the members, one at a time.

use shallothill_core::ids::KeeperId;

use crate::action::ProposeResult;
use crate::entry::{Content, RequestId};
use crate::options;
use crate::replica::Replica;

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
        if since > self.commit || self.commit < leading.first {
            self.reply(id, ProposeResult::Busy);
            return;
        }
        let current = self.log.members();
        if current == members {
            self.reply(id, ProposeResult::Committed(since));
            return;
        }
        let added = members.iter().filter(|k| !current.contains(k)).count();
        let removed = current.iter().filter(|k| !members.contains(k)).count();
        let size = members.len();
        if added + removed != 1 || size == 0 || size > options::MAX_MEMBERS {
            self.reply(id, ProposeResult::Refused);
            return;
        }
        self.propose(id, Content::Members { id, members });
    }
}
