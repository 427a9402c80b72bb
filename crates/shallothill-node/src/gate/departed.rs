//! A record of departed backend servers, so that late announcements do not register them again.

use std::collections::{BTreeMap, VecDeque};

use shallothill_core::ids::{EndpointName, ServiceName};

/// `MAX_DEPARTED` bounds the number of recorded departures; a host has only few backend servers.
const MAX_DEPARTED: usize = 256;

/// `DepartedEndpoints` holds the start times of backend servers that withdrew their announcement or
/// expired while draining.
#[derive(Debug, Default)]
pub(crate) struct DepartedEndpoints {
    started_ms_by_endpoint: BTreeMap<(ServiceName, EndpointName), u64>,
    oldest_first: VecDeque<(ServiceName, EndpointName)>,
}

impl DepartedEndpoints {
    /// `insert` records that the incarnation that started at `started_ms`, and all earlier ones,
    /// have departed.
    pub(crate) fn insert(&mut self, key: (ServiceName, EndpointName), started_ms: u64) {
        if self
            .started_ms_by_endpoint
            .insert(key.clone(), started_ms)
            .is_none()
        {
            self.oldest_first.push_back(key);
        }
        while self.oldest_first.len() > MAX_DEPARTED {
            if let Some(oldest) = self.oldest_first.pop_front() {
                self.started_ms_by_endpoint.remove(&oldest);
            }
        }
    }

    /// `has_departed` tells whether the departure of the incarnation that started at `started_ms`
    /// is recorded. A start time of 0, for unknown, never matches.
    pub(crate) fn has_departed(&self, key: &(ServiceName, EndpointName), started_ms: u64) -> bool {
        let departed = self.started_ms_by_endpoint.get(key);
        started_ms > 0 && departed.is_some_and(|last_started_ms| started_ms <= *last_started_ms)
    }
}
