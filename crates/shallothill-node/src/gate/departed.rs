//! A record of departed backend servers, so that late announcements do not register them again.

use std::collections::{BTreeMap, VecDeque};

use shallothill_core::ids::{EndpointName, ServiceName};
use shallothill_directory::Departure;

use crate::gate::{Announced, Announcement, StartTime};

/// `MAX_DEPARTED` bounds the number of recorded departures; a host has only few backend servers.
const MAX_DEPARTED: usize = 256;

/// `Key` identifies a backend server among all that departed: by its name alone where names are
/// unique on the host.
type Key = (Option<ServiceName>, EndpointName);

/// `DepartedEndpoints` holds the last outdated announcement of each backend server that drains,
/// withdrew its announcement, expired while draining or had departed before the node was restarted.
#[derive(Debug, Default)]
pub(crate) struct DepartedEndpoints {
    unique_names: bool,
    last_outdated: BTreeMap<Key, (StartTime, u64)>,
    oldest_first: VecDeque<Key>,
}

impl DepartedEndpoints {
    /// `new` builds an empty record; `unique_names` tells whether names are unique on the host.
    pub(crate) fn new(unique_names: bool) -> Self {
        Self {
            unique_names,
            ..Self::default()
        }
    }

    fn key(&self, service: &ServiceName, name: &EndpointName) -> Key {
        let service = (!self.unique_names).then(|| service.clone());
        (service, name.clone())
    }

    /// `insert` records a departure; all earlier announcements are outdated too. One that does not
    /// tell which process departed is ignored.
    pub(crate) fn insert(&mut self, departure: &Departure) {
        let Some(start) = StartTime::new(departure.started_ms) else {
            return;
        };
        let key = self.key(&departure.service, &departure.name);
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
    pub(crate) fn contains(&self, (service, name): &(ServiceName, EndpointName)) -> bool {
        self.last_outdated.contains_key(&self.key(service, name))
    }

    /// `has_left` tells whether a process that started at `start` is one whose departure for good is
    /// recorded, or may be it since its start is not known.
    pub(crate) fn has_left(
        &self,
        (service, name): &(ServiceName, EndpointName),
        start: Option<StartTime>,
    ) -> bool {
        let last = self.last_outdated.get(&self.key(service, name));
        last.is_some_and(|(last_start, _)| start <= Some(*last_start))
    }

    /// `is_outdated` tells whether an announcement comes from a process whose departure is recorded,
    /// or may come from it since it states no start. A process that drains may say so again.
    pub(crate) fn is_outdated(
        &self,
        (service, name): &(ServiceName, EndpointName),
        a: &Announcement,
    ) -> bool {
        let last = self.last_outdated.get(&self.key(service, name));
        let Some((last_start, last_sequence)) = last else {
            return false;
        };
        a.start.is_none_or(|start| {
            let drains_on = start == *last_start && a.state == Announced::Draining;
            start <= *last_start && !(drains_on && a.sequence > *last_sequence)
        })
    }
}
