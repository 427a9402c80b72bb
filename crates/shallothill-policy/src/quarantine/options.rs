//! Limits of the quarantine.

use std::time::Duration;

/// `QuarantineOptions` holds the limits of the quarantine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuarantineOptions {
    /// Crashes after which a fingerprint is refused.
    pub crash_limit: u32,
    /// Crashes since the last response after which a fingerprint is refused that was answered
    /// within `release_after`. A request that crashes every server that runs it is never answered,
    /// so this limit applies only to unrelated requests that were in flight at a crash and to
    /// requests that crash servers sometimes.
    pub crash_limit_answered: u32,
    /// How long a fingerprint at `crash_limit_answered` is refused after its last crash. After this
    /// time each node admits one attempt at a time, because an unrelated request that is always
    /// refused could never be answered and cleared.
    pub pause_answered: Duration,
    /// Time after the last crash at which a fingerprint is released.
    pub release_after: Duration,
    /// Maximum number of fingerprints kept, of crashes and of responses each; those with the oldest
    /// crash or response are evicted first.
    pub max_fingerprints: usize,
    /// How long an entry node delays the failure response of a request that crashed its backend
    /// server, so that other nodes learn of the fingerprint before the caller sends it again.
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
