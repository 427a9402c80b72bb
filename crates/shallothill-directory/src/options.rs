//! Options of the directory and of the ejection leases.

use std::time::Duration;

/// `DirectoryOptions` holds the timeouts after which silent nodes are marked and removed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DirectoryOptions {
    /// Time without a report after which a node is marked as silent.
    pub silent_after: Duration,
    /// Time without a report after which the keeper to which a node reports removes the node. Other
    /// keepers count this time from when that keeper no longer lists the node.
    pub remove_silent_after: Duration,
    /// Time after which the nodes are removed that report to a keeper which is itself silent.
    pub remove_after_keeper_silence: Duration,
    /// Time for which a removed node's last incarnation and sequence number are kept, so that late
    /// reports are ignored.
    pub tombstone_retention: Duration,
}

impl Default for DirectoryOptions {
    fn default() -> Self {
        Self {
            silent_after: Duration::from_secs(6),
            remove_silent_after: Duration::from_secs(15),
            // The entries of a region that is cut off for a while stay: entry nodes observe
            // themselves whether they can reach its nodes.
            remove_after_keeper_silence: Duration::from_secs(2 * 3600),
            tombstone_retention: Duration::from_secs(24 * 3600),
        }
    }
}

/// `LeaseOptions` holds the durations and intervals of ejection leases.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseOptions {
    /// Time for which a keeper reserves a granted token.
    pub grant_duration: Duration,
    /// Time for which a holder relies on the grants, counted from when it sent the request.
    pub hold_duration: Duration,
    /// Time between two renewals of a held lease.
    pub renewal_interval: Duration,
    /// Time after its start during which a keeper grants nothing, because it may have granted
    /// tokens before it restarted.
    pub startup_wait: Duration,
    /// Time for which a holder waits for the replies to one request.
    pub answer_timeout: Duration,
}

impl Default for LeaseOptions {
    fn default() -> Self {
        Self {
            grant_duration: Duration::from_secs(6),
            // One second under `grant_duration` covers clocks whose rates differ by up to 16%.
            hold_duration: Duration::from_secs(5),
            renewal_interval: Duration::from_secs(2),
            startup_wait: Duration::from_secs(7),
            answer_timeout: Duration::from_secs(1),
        }
    }
}
