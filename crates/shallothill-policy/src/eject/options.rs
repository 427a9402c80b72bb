//! Times and steps of ejection and return.

use std::time::Duration;

/// `EjectOptions` holds the times and steps of trials and the backoff of flapping servers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EjectOptions {
    /// Trials that run at a time in each step; a step passes with as many served in a row.
    pub trial_steps: Vec<u16>,
    /// Wait before the first trial.
    pub initial_wait: Duration,
    /// The longest wait before trials.
    pub max_wait: Duration,
    /// Health for which one past ejection is forgotten.
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
