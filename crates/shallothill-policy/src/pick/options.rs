//! Parameters of endpoint selection.

use std::time::Duration;

/// `PickOptions` holds the thresholds of spill-over, the maximum ages of reported load and the rate
/// of trials.
#[derive(Clone, Debug, PartialEq)]
pub struct PickOptions {
    /// Utilisation of a tier above which more picks go to the next tier.
    pub spill_above: f64,
    /// Utilisation below which picks return; the gap to `spill_above` prevents oscillation.
    pub return_below: f64,
    /// Share of picks, in thousandths, that one update moves to the next tier.
    pub spill_step_permille: u32,
    /// Share of picks, in thousandths, that one update moves back.
    pub return_step_permille: u32,
    /// Age above which a load that a gate reported is ignored.
    pub load_max_age: Duration,
    /// Age above which a suspicion that a gate reported is ignored.
    pub suspicion_max_age: Duration,
    /// Share of idempotent first attempts, in thousandths, that may serve as trials.
    pub trial_share_permille: u32,
    /// Minimum time between two trials that one entry node sends to the same endpoint.
    pub trial_interval: Duration,
    /// Whether endpoints that are proven and have room are picked before others; otherwise the
    /// tier comes first.
    pub by_state: bool,
}

impl Default for PickOptions {
    fn default() -> Self {
        Self {
            spill_above: 0.9,
            return_below: 0.7,
            // Larger steps overshoot, since utilisation is smoothed over about a second; smaller
            // ones keep traffic away for too long. See docs/weighed/pick.md.
            spill_step_permille: 40,
            return_step_permille: 25,
            load_max_age: Duration::from_secs(1),
            suspicion_max_age: Duration::from_secs(3),
            // Half of the default retry budget, because a refused trial costs one retry.
            trial_share_permille: 50,
            trial_interval: Duration::from_millis(200),
            by_state: true,
        }
    }
}
