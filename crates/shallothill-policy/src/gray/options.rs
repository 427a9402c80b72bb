//! What is expected of spells of gray failure.

use std::time::Duration;

use shallothill_core::config::Service;

/// `GrayOptions` holds the expected share and length of spells and the limits of suspicion.
///
/// It answers a load of a few requests a second for each backend server, where a spell of some
/// seconds is over before a share of errors can be measured.
#[derive(Clone, Debug, PartialEq)]
pub struct GrayOptions {
    /// The share of time for which a backend server is in a spell; 0 switches the estimate off.
    pub episode_share: f64,
    /// The mean length of a spell.
    pub mean_episode: Duration,
    /// The share of requests that fail in a spell.
    pub episode_failure_rate: f64,
    /// The share of requests that fail outside of spells.
    pub normal_failure_rate: f64,
    /// The share of requests that fail outside of spells much faster than usual answers.
    pub normal_fast_failure_rate: f64,
    /// The probability of a spell up to which a backend server is trusted.
    pub trust_below: f64,
    /// The probability of a spell from which a backend server is suspected, and requests that run at
    /// most once are refused also when others have refused them.
    pub refuse_above: f64,
    /// The probability from which requests that may be repeated are admitted as trials only.
    pub trial_above: f64,
    /// The time between two trials while they fail.
    pub trial_interval: Duration,
    /// Trials that may run at the same time after one was served.
    pub max_trials: u8,
}

impl Default for GrayOptions {
    fn default() -> Self {
        Self {
            episode_share: 0.0,
            mean_episode: Duration::from_secs(8),
            episode_failure_rate: 0.9,
            normal_failure_rate: 0.02,
            normal_fast_failure_rate: 0.002,
            trust_below: 0.15,
            refuse_above: 0.4,
            trial_above: 0.6,
            trial_interval: Duration::from_millis(800),
            max_trials: 3,
        }
    }
}

impl GrayOptions {
    /// `from_service` takes the expected share from the configuration.
    pub fn from_service(service: &Service) -> Self {
        Self {
            episode_share: f64::from(service.gray_percent.min(90)) / 100.0,
            ..Self::default()
        }
    }

    // Probabilities tend to the expected share with this time constant: the chain of spells and
    // pauses forgets its state at the sum of both rates.
    pub(crate) fn relaxation(&self) -> Duration {
        self.mean_episode.mul_f64(1.0 - self.episode_share)
    }
}
