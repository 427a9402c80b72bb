//! Limits of the quarantine.

use std::time::Duration;

/// `QuarantineOptions` holds the limits of the quarantine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuarantineOptions {
    /// Crashes after which a fingerprint is refused.
    pub crash_limit: u32,
    /// Crashes since its last answer after which a fingerprint that was answered within
    /// `release_after` is refused. A request that crashes every server that runs it is never
    /// answered, so this limit applies only to bystanders and to requests that crash sometimes.
    pub crash_limit_answered: u32,
    /// Time for which a fingerprint beyond `crashes_answered` is refused after its last crash.
    /// Then each node admits one attempt at a time, because a bystander that nobody may run
    /// could never be answered and cleared.
    pub pause_answered: Duration,
    /// Time after the last crash at which a fingerprint is released.
    pub release_after: Duration,
    /// Fingerprints kept at most, of crashes and of answers each; those with the oldest crash or
    /// answer are dropped first.
    pub max_fingerprints: usize,
    /// Time for which an entry node withholds the failure of a request that crashed its backend
    /// server, so that other nodes hear of the fingerprint before the caller resends.
    pub withhold_failure_for: Duration,
}

impl Default for QuarantineOptions {
    fn default() -> Self {
        Self {
            crash_limit: 2,
            crash_limit_answered: 4,
            pause_answered: Duration::from_secs(10),
            release_after: Duration::from_secs(600),
            max_fingerprints: 10_000,
            withhold_failure_for: Duration::from_millis(250),
        }
    }
}
