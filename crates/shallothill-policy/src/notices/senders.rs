//! The nodes that have sent attempts lately.

use std::collections::BTreeMap;
use std::time::Duration;

use shallothill_core::ids::NodeName;
use shallothill_core::time::Millis;

/// `MAX_SENDERS` bounds the nodes that are remembered.
const MAX_SENDERS: usize = 256;

/// `RecentSenders` remembers when each node last sent an attempt.
#[derive(Clone, Debug, Default)]
pub struct RecentSenders {
    last_sent: BTreeMap<NodeName, Millis>,
}

impl RecentSenders {
    /// `record` records that `node` sent an attempt at `now`.
    pub fn record(&mut self, now: Millis, node: &NodeName) {
        if let Some(at) = self.last_sent.get_mut(node) {
            *at = now;
            return;
        }
        if self.last_sent.len() >= MAX_SENDERS {
            let oldest = self.last_sent.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(node, _)| node.clone()) {
                self.last_sent.remove(&oldest);
            }
        }
        self.last_sent.insert(node.clone(), now);
    }

    /// `list` returns the nodes that sent an attempt within `max_age`, the latest first. Older ones
    /// are forgotten.
    pub fn list(&mut self, now: Millis, max_age: Duration) -> Vec<NodeName> {
        self.last_sent
            .retain(|_, at| now.saturating_since(*at) <= max_age);
        let mut nodes: Vec<(&NodeName, Millis)> =
            self.last_sent.iter().map(|(n, at)| (n, *at)).collect();
        nodes.sort_by_key(|(_, at)| std::cmp::Reverse(*at));
        nodes.into_iter().map(|(n, _)| n.clone()).collect()
    }
}
