//! What shows that a backend server lives while the node does not know which ones have left.

use std::collections::BTreeMap;
use std::time::Duration;

use shallothill_core::ids::{EndpointName, ServiceName};
use shallothill_core::time::{Millis, UnixMillis};

use crate::gate::start_time::AnnouncementOrder;
use crate::gate::{Announced, Announcement, StartTime};

/// `MAX_FIRST` bounds the backend servers whose first announcement is kept; a host has only few.
/// Others wait until the departures are known.
const MAX_FIRST: usize = 256;

/// `FirstAnnouncement` is the first announcement of a process since the start of the node.
#[derive(Clone, Copy, Debug)]
struct FirstAnnouncement {
    order: AnnouncementOrder,
    at: Millis,
}

/// `LifeSigns` holds the first announcement of each backend server since the start of the node. A
/// single one may have been sent before the server left and arrive late.
#[derive(Debug)]
pub(crate) struct LifeSigns {
    node_started: UnixMillis,
    /// The time for which an announcement is valid, far longer than one that states no sequence is
    /// late.
    lease: Duration,
    first: BTreeMap<(ServiceName, EndpointName), FirstAnnouncement>,
}

impl LifeSigns {
    /// `new` builds the signs of a node that started at `node_started`; announcements are valid for
    /// `lease`.
    pub(crate) fn new(node_started: UnixMillis, lease: Duration) -> Self {
        Self {
            node_started,
            lease,
            first: BTreeMap::new(),
        }
    }

    /// `record` records an announcement that arrived at `now`; returns whether it shows that its
    /// sender lives: the process started after the node, or its sequence moved on after the start of
    /// the node. One that states no sequence has to announce for a whole lease. A drain needs no
    /// sign, as it brings no requests.
    pub(crate) fn record(
        &mut self,
        now: Millis,
        key: (ServiceName, EndpointName),
        a: &Announcement,
    ) -> bool {
        if a.state == Announced::Draining || a.start > StartTime::new(self.node_started.0) {
            return true;
        }
        let order = a.order();
        let heard = FirstAnnouncement { order, at: now };
        let Some(first) = self.first.get_mut(&key) else {
            if self.first.len() < MAX_FIRST {
                self.first.insert(key, heard);
            }
            return false;
        };
        if first.order.start < order.start {
            *first = heard;
        }
        let moved_on = order.sequence > first.order.sequence;
        let held = order.sequence == 0 && now.saturating_since(first.at) >= self.lease;
        order.start == first.order.start && (moved_on || held)
    }

    /// `clear` forgets all announcements, once they are not needed any more.
    pub(crate) fn clear(&mut self) {
        self.first.clear();
    }
}
