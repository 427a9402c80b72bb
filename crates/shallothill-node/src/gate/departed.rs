//! Backend servers that left, so that late announcements do not bring them back.

use std::collections::{BTreeMap, VecDeque};

use shallothill_core::ids::{EndpointName, ServiceName};

/// `DEPARTED_MAX` bounds the remembered departures; one host has few backend servers.
const DEPARTED_MAX: usize = 256;

/// `Departed` remembers the starts of backend servers that took their announcement back.
#[derive(Debug, Default)]
pub(crate) struct Departed {
    starts: BTreeMap<(ServiceName, EndpointName), u64>,
    order: VecDeque<(ServiceName, EndpointName)>,
}

impl Departed {
    /// `insert` notes that the life that started at `started_ms`, and all before it, have ended.
    pub(crate) fn insert(&mut self, key: (ServiceName, EndpointName), started_ms: u64) {
        if self.starts.insert(key.clone(), started_ms).is_none() {
            self.order.push_back(key);
        }
        while self.order.len() > DEPARTED_MAX {
            if let Some(oldest) = self.order.pop_front() {
                self.starts.remove(&oldest);
            }
        }
    }

    /// `has_ended` tells whether the life that started at `started_ms` is known to have ended.
    pub(crate) fn has_ended(&self, key: &(ServiceName, EndpointName), started_ms: u64) -> bool {
        let known = self.starts.get(key);
        started_ms > 0 && known.is_some_and(|ended| started_ms <= *ended)
    }
}
