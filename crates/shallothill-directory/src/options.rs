//! Choices of the directory and of the ejection leases.

use std::time::Duration;

/// `DirectoryOptions` holds the times after which silent nodes are marked and removed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DirectoryOptions {
    /// Silence after which a node is marked as unheard.
    pub silent_after: Duration,
    /// Silence after which the keeper that heard the node last removes it.
    pub remove_silent_after: Duration,
    /// Silence after which a node is removed whose keeper is itself silent.
    pub remove_after_keeper_silence: Duration,
    /// Time for which a removed node's last report number is kept, to ignore late reports.
    pub tombstone_retention: Duration,
}

impl Default for DirectoryOptions {
    fn default() -> Self {
        Self {
            silent_after: Duration::from_secs(6),
            remove_silent_after: Duration::from_secs(15),
            // A region that is cut off for a while keeps its entries: reaching its nodes is a
            // matter of the path, which the entry nodes observe themselves.
            remove_after_keeper_silence: Duration::from_secs(2 * 3600),
            tombstone_retention: Duration::from_secs(24 * 3600),
        }
    }
}

/// `LeaseOptions` holds the times of ejection leases.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseOptions {
    /// Time for which a keeper reserves a granted token.
    pub grant_duration: Duration,
    /// Time after sending a request for which its holder relies on the grants.
    pub hold_duration: Duration,
    /// Time between renewals.
    pub renewal_interval: Duration,
    /// Time after its start during which a keeper grants nothing, since it may have granted
    /// before it restarted.
    pub startup_wait: Duration,
    /// Time to wait for the answers to one request.
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
