//! Times and steps of ejection and return.

use std::time::Duration;

/// `EjectOptions` holds the times and steps of trials and the backoff of flapping servers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EjectOptions {
    /// Trials that run at a time in each step; a step passes with as many served in a row.
    pub steps: Vec<u16>,
    /// Wait before the first trial.
    pub first_wait: Duration,
    /// The longest wait before trials.
    pub longest_wait: Duration,
    /// Health for which one past ejection is forgotten.
    pub forget_after: Duration,
}

impl Default for EjectOptions {
    fn default() -> Self {
        Self {
            steps: vec![1, 2, 4],
            first_wait: Duration::from_secs(1),
            longest_wait: Duration::from_secs(120),
            forget_after: Duration::from_secs(60),
        }
    }
}
