//! Timing of ejection and recovery.

use std::time::Duration;

/// `EjectOptions` configures trials and the backoff of flapping servers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EjectOptions {
    /// Concurrent trials of each step; a step passes when as many have succeeded in a row.
    pub trial_steps: Vec<u16>,
    /// Backoff before the first trial; it doubles with each flap.
    pub initial_wait: Duration,
    /// Upper bound of the backoff.
    pub max_wait: Duration,
    /// Time in service after which one flap is forgotten.
    pub flap_decay_interval: Duration,
}

impl Default for EjectOptions {
    fn default() -> Self {
        Self {
            trial_steps: vec![1, 2, 4],
            initial_wait: Duration::from_secs(1),
            max_wait: Duration::from_secs(120),
            flap_decay_interval: Duration::from_secs(60),
        }
    }
}
