//! A record of departed backend servers, so that late announcements do not register them again.

use std::collections::{BTreeMap, VecDeque};

use shallothill_core::ids::{EndpointName, ServiceName};
use shallothill_directory::Departure;

use crate::gate::{Announced, Announcement, StartTime};

/// `MAX_DEPARTED` bounds the number of recorded departures; a host has only few backend servers.
const MAX_DEPARTED: usize = 256;

/// `DepartedEndpoints` holds the last outdated announcement of each backend server that drains,
/// withdrew its announcement, expired while draining or had departed before the node was restarted.
#[derive(Debug, Default)]
pub(crate) struct DepartedEndpoints {
    last_outdated: BTreeMap<(ServiceName, EndpointName), (StartTime, u64)>,
    oldest_first: VecDeque<(ServiceName, EndpointName)>,
}

impl DepartedEndpoints {
    /// `insert` records a departure; all earlier announcements are outdated too. One that does not
    /// tell which process departed is ignored.
    pub(crate) fn insert(&mut self, departure: &Departure) {
        let Some(start) = StartTime::new(departure.started_ms) else {
            return;
        };
        let key = (departure.service.clone(), departure.name.clone());
        let order = (start, departure.sequence);
        match self.last_outdated.get_mut(&key) {
            Some(last) => *last = order.max(*last),
            None => {
                self.last_outdated.insert(key.clone(), order);
                self.oldest_first.push_back(key);
            }
        }
        while self.oldest_first.len() > MAX_DEPARTED {
            if let Some(oldest) = self.oldest_first.pop_front() {
                self.last_outdated.remove(&oldest);
            }
        }
    }

    /// `contains` tells whether a departure of the backend server is recorded.
    pub(crate) fn contains(&self, key: &(ServiceName, EndpointName)) -> bool {
        self.last_outdated.contains_key(key)
    }

    /// `has_left` tells whether a process that started at `start` is one whose departure for good is
    /// recorded, or may be it since its start is not known.
    pub(crate) fn has_left(
        &self,
        key: &(ServiceName, EndpointName),
        start: Option<StartTime>,
    ) -> bool {
        let last = self.last_outdated.get(key);
        last.is_some_and(|(last_start, _)| start <= Some(*last_start))
    }

    /// `is_outdated` tells whether an announcement comes from a process whose departure is recorded,
    /// or may come from it since it states no start. A process that drains may say so again.
    pub(crate) fn is_outdated(&self, key: &(ServiceName, EndpointName), a: &Announcement) -> bool {
        let Some((last_start, last_sequence)) = self.last_outdated.get(key) else {
            return false;
        };
        a.start.is_none_or(|start| {
            let drains_on = start == *last_start && a.state == Announced::Draining;
            start <= *last_start && !(drains_on && a.sequence > *last_sequence)
        })
    }
}
