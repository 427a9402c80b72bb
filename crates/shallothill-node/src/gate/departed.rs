//! A record of departed backend servers, so that late announcements do not register them again.

use std::collections::{BTreeMap, VecDeque};

use shallothill_core::ids::{EndpointName, ServiceName};
use shallothill_directory::Departure;

/// `MAX_DEPARTED` bounds the number of recorded departures; a host has only few backend servers.
const MAX_DEPARTED: usize = 256;

/// `DepartedEndpoints` holds the last outdated announcement of each backend server that withdrew its
/// announcement, expired while draining or had departed before the node was restarted.
#[derive(Debug, Default)]
pub(crate) struct DepartedEndpoints {
    last_outdated: BTreeMap<(ServiceName, EndpointName), (u64, u64)>,
    oldest_first: VecDeque<(ServiceName, EndpointName)>,
}

impl DepartedEndpoints {
    /// `insert` records a departure; all earlier announcements are outdated too.
    pub(crate) fn insert(&mut self, departure: &Departure) {
        let key = (departure.service.clone(), departure.name.clone());
        let order = (departure.started_ms, departure.sequence);
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

    /// `is_outdated` tells whether an announcement with the order key `order` precedes a recorded
    /// departure. A start time of 0, for unknown, never does.
    pub(crate) fn is_outdated(&self, key: &(ServiceName, EndpointName), order: (u64, u64)) -> bool {
        let last = self.last_outdated.get(key);
        order.0 > 0 && last.is_some_and(|last| order <= *last)
    }
}
